#pragma once

/// Public header of the agreement library: the replicated log of a group of
/// instances. Its decisions are pure: events with a time go in, effects come
/// out.

#include "agreement/agreement_events.hpp"
#include "agreement/agreement_membership.hpp"
#include "agreement/agreement_node.hpp"
#include "agreement/member_removal.hpp"
