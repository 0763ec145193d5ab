#pragma once

/// Public header of the protocol library: message types and their codecs.

#include "protocol/agreement_messages.hpp"
#include "protocol/entry_messages.hpp"
#include "protocol/flow_key.hpp"
#include "protocol/geneve.hpp"
#include "protocol/inner_packet.hpp"
#include "protocol/request_class.hpp"
#include "protocol/upstream_record.hpp"
