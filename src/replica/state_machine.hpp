#pragma once

#include "agreement/agreement.hpp"

#include <string>

namespace boragestand::replica
{

/// The state that the entries of the replicated log are applied to. An error
/// of apply() or restore() stops the replica.
class state_machine
{
public:
    virtual ~state_machine() = default;

    /// Applies a committed command.
    virtual result<void> apply(const protocol::log_entry& entry) = 0;

    /// Encodes the whole state.
    virtual std::string snapshot() const = 0;

    /// Replaces the state by an encoded one; an empty text is the state before
    /// the first command.
    virtual result<void> restore(const std::string& data) = 0;

    /// Called after each step of the replica, before answers are given.
    virtual void finish_step() = 0;
};

} // namespace boragestand::replica
