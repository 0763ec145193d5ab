#include "coordination/agreement_receiver.hpp"

#include <algorithm>

namespace boragestand::coordination
{

agreement_receiver::agreement_receiver(agreement_core& core) : core_(core) {}

void agreement_receiver::take(const protocol::agreement_envelope& envelope,
                              const protocol::append_request& request)
{
    core_.send(envelope.from, envelope.reply_to, stored(request), core_.term());
}

protocol::append_reply
agreement_receiver::stored(const protocol::append_request& request)
{
    const auto previous = request.previous.index;
    if (previous < core_.commit())
    {
        // Committed entries equal the leader's, so it can go on after them.
        return {true, core_.commit(), 0, request.round};
    }
    if (core_.log().term_at(previous) != request.previous.term)
    {
        return {false, 0, hint_for(previous), request.round};
    }
    if (!core_.store(request.entries))
    {
        return {false, 0, core_.commit(), request.round};
    }
    const auto match = previous + request.entries.size();
    core_.commit_to(std::min(request.commit, match));
    return {true, match, 0, request.round};
}

// Passes over all entries of a contradicting term at once.
std::uint64_t agreement_receiver::hint_for(std::uint64_t previous) const
{
    const auto& log = core_.log();
    if (previous > log.last().index)
    {
        return log.last().index;
    }
    const auto term = log.term_at(previous);
    auto hint = previous;
    while (hint > core_.commit() && log.term_at(hint) == term)
    {
        --hint;
    }
    return hint;
}

void agreement_receiver::take(const protocol::agreement_envelope& envelope,
                              const protocol::snapshot_chunk& chunk)
{
    const auto answer = [&](std::uint64_t offset)
    {
        core_.send(envelope.from, envelope.reply_to,
                   protocol::snapshot_reply{chunk.last, offset, chunk.round},
                   core_.term());
    };
    if (chunk.last.index <= core_.commit())
    {
        return answer(chunk.size);
    }
    auto snapshot = snapshot_.take(chunk);
    if (!snapshot)
    {
        return answer(snapshot_.wanted());
    }
    install(std::move(*snapshot));
    answer(chunk.size);
}

void agreement_receiver::install(protocol::agreement_snapshot snapshot)
{
    const auto& last = snapshot.last;
    if (core_.log().term_at(last.index) == last.term)
    {
        // Entries after the snapshot may have been confirmed; they are kept.
        core_.commit_to(last.index);
        return;
    }
    core_.install(std::move(snapshot));
}

} // namespace boragestand::coordination
