#pragma once

#include "coordination/upstream_registry.hpp"

namespace boragestand::coordination
{

/// Whether an announced upstream can be used and passed on. Limits what one
/// record takes in replies and in memory, so that a single one cannot make the
/// directory unreadable or take all flows. error_kind::invalid_argument with
/// the field otherwise.
result<void> check_upstream(const registered_upstream& record);

} // namespace boragestand::coordination
