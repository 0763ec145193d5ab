#include "agreement/agreement_receiver.hpp"

#include <algorithm>

namespace boragestand::agreement
{

agreement_receiver::agreement_receiver(agreement_core& core) : core_(core) {}

void agreement_receiver::handle(const protocol::agreement_envelope& envelope,
                                const protocol::append_request& request)
{
    core_.send(envelope.from, envelope.reply_to, store_entries(request),
               core_.term());
}

protocol::append_reply
agreement_receiver::store_entries(const protocol::append_request& request)
{
    const auto previous = request.previous.index;
    if (previous < core_.commit_index())
    {
        // Committed entries match the leader's, so it can continue after them.
        return {true, core_.commit_index(), 0, request.round};
    }
    if (core_.log().term_at(previous) != request.previous.term)
    {
        return {false, 0, conflict_hint(previous), request.round};
    }
    if (!core_.store_entries(request.entries))
    {
        return {false, 0, core_.commit_index(), request.round};
    }
    const auto match = previous + request.entries.size();
    core_.advance_commit_index(std::min(request.commit, match));
    return {true, match, 0, request.round};
}

// Skips all entries of the conflicting term at once.
std::uint64_t agreement_receiver::conflict_hint(std::uint64_t previous) const
{
    const auto& log = core_.log();
    if (previous > log.last().index)
    {
        return log.last().index;
    }
    const auto term = log.term_at(previous);
    auto hint = previous;
    while (hint > core_.commit_index() && log.term_at(hint) == term)
    {
        --hint;
    }
    return hint;
}

void agreement_receiver::handle(const protocol::agreement_envelope& envelope,
                                const protocol::snapshot_chunk& chunk)
{
    const auto reply = [&](std::uint64_t offset)
    {
        core_.send(envelope.from, envelope.reply_to,
                   protocol::snapshot_reply{chunk.last, offset, chunk.round},
                   core_.term());
    };
    if (chunk.last.index <= core_.commit_index())
    {
        return reply(chunk.size);
    }
    auto snapshot = incoming_snapshot_.add_chunk(chunk);
    if (!snapshot)
    {
        return reply(incoming_snapshot_.next_offset());
    }
    install_snapshot(std::move(*snapshot));
    reply(chunk.size);
}

void agreement_receiver::install_snapshot(protocol::agreement_snapshot snapshot)
{
    const auto& last = snapshot.last;
    if (core_.log().term_at(last.index) == last.term)
    {
        // Entries after the snapshot may have been confirmed; they are kept.
        core_.advance_commit_index(last.index);
        return;
    }
    core_.install_snapshot(std::move(snapshot));
}

} // namespace boragestand::agreement
