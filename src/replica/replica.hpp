#pragma once

#include "replica/group_api.hpp"
#include "replica/group_founding.hpp"
#include "replica/member_service.hpp"
#include "replica/peer_link.hpp"
#include "replica/replica_disk.hpp"
#include "replica/replica_event_log.hpp"
#include "replica/replica_log.hpp"
#include "replica/replica_runner.hpp"
#include "replica/state_machine.hpp"
