#pragma once

#include "replica/peer_link.hpp"
#include "replica/replica_disk.hpp"
#include "replica/replica_log.hpp"
#include "replica/replica_runner.hpp"
#include "replica/state_machine.hpp"
