#include "agreement/agreement_leader.hpp"

#include "agreement/agreement_membership.hpp"

#include <algorithm>

namespace boragestand::agreement
{

agreement_leader::agreement_leader(agreement_core& core, time_point now)
    : core_(core)
{
    progress_.update_members(core_.log().group(), core_.self(),
                             core_.log().last().index + 1, now);
    first_index_of_term_ = core_.log().last().index + 1;
    append_first_entry(now);
}

// Only members that have learned the first group elsewhere know it before it is
// in the log. The first entry holds it, so that a majority knows the group
// before anything else is committed.
void agreement_leader::append_first_entry(time_point now)
{
    const auto& log = core_.log();
    const bool only_founded =
        log.group_index() == 0 && log.snapshot()->last.index == 0;
    if (only_founded)
    {
        append(protocol::entry_kind::membership,
               protocol::encode_replica_group(log.group()), 0, now);
        return;
    }
    append(protocol::entry_kind::empty, {}, 0, now);
}

void agreement_leader::tick(time_point now)
{
    if (now < next_heartbeat_)
    {
        return;
    }
    next_heartbeat_ = now + core_.settings().heartbeat_interval;
    replicate_to_all();
    for (const auto& member : core_.log().group().members)
    {
        auto* progress = progress_.find(member.id);
        if (progress != nullptr && progress->snapshot_transfer)
        {
            send_chunk(member.id, *progress);
        }
    }
}

const char* agreement_leader::reason_to_step_down(time_point now) const
{
    const auto& group = core_.log().group();
    const auto& settings = core_.settings();
    if (!group.is_voter(core_.self()) &&
        core_.log().group_index() <= core_.commit_index())
    {
        return "removed from the group";
    }
    if (transfer_deadline_ && now >= *transfer_deadline_)
    {
        return "leadership transfer timed out";
    }
    const auto contact = progress_.majority_contact(group, core_.self(), now);
    if (!settings.faults.skip_check_quorum &&
        now - contact >= settings.election_timeout)
    {
        return "no answers from a majority";
    }
    return nullptr;
}

// Skips members that receive a snapshot: a chunk is large, so it is resent only
// with the heartbeat.
void agreement_leader::replicate_to_all()
{
    for (const auto& member : core_.log().group().members)
    {
        auto* progress = progress_.find(member.id);
        if (progress != nullptr && !progress->snapshot_transfer)
        {
            replicate(member.id, *progress);
        }
    }
}

void agreement_leader::replicate(replica_id id, replica_progress& progress)
{
    const bool compacted = progress.next <= core_.log().snapshot()->last.index;
    if (!progress.snapshot_transfer && compacted)
    {
        progress.snapshot_transfer.emplace(*core_.log().snapshot(),
                                           core_.settings().chunk_size);
    }
    if (progress.snapshot_transfer)
    {
        send_chunk(id, progress);
        return;
    }
    send_entries(id, progress);
}

void agreement_leader::send_entries(replica_id id, replica_progress& progress)
{
    const auto& log = core_.log();
    const auto previous = progress.next - 1;
    protocol::append_request request;
    request.previous = {previous, log.term_at(previous).value_or(0)};
    request.commit = core_.commit_index();
    request.round = heartbeat_round_;
    request.entries =
        log.slice(progress.next, core_.settings().max_append_entries,
                  core_.settings().max_append_bytes);
    // Pipelines later entries without waiting for the reply; after a lost
    // message the follower rejects the gap and the entries are resent.
    progress.next += request.entries.size();
    core_.send_to_member(id, std::move(request));
}

void agreement_leader::send_chunk(replica_id id, replica_progress& progress)
{
    core_.send_to_member(
        id, progress.snapshot_transfer->next_chunk(heartbeat_round_));
}

void agreement_leader::handle_reply(replica_id from,
                                    const protocol::append_reply& reply,
                                    time_point now)
{
    auto* progress = progress_.find(from);
    if (progress == nullptr)
    {
        return;
    }
    progress->last_contact = now;
    progress->round = std::max(progress->round, reply.round);
    if (progress->snapshot_transfer)
    {
        answer_reads();
        return;
    }
    const auto last = core_.log().last().index;
    if (reply.accepted)
    {
        progress->match =
            std::max(progress->match, std::min(reply.match, last));
        progress->next = std::max(progress->next, progress->match + 1);
    }
    else
    {
        progress->next =
            std::max(progress->match + 1, std::min(reply.hint + 1, last + 1));
    }
    if (!reply.accepted || progress->next <= last)
    {
        replicate(from, *progress);
    }
    update_commit(now);
}

void agreement_leader::handle_reply(replica_id from,
                                    const protocol::snapshot_reply& reply,
                                    time_point now)
{
    auto* progress = progress_.find(from);
    if (progress == nullptr)
    {
        return;
    }
    progress->last_contact = now;
    progress->round = std::max(progress->round, reply.round);
    if (progress->snapshot_transfer &&
        progress->snapshot_transfer->handle_reply(reply))
    {
        if (progress->snapshot_transfer->is_complete())
        {
            progress->match = std::max(progress->match, reply.last.index);
            progress->next = progress->match + 1;
            progress->snapshot_transfer.reset();
        }
        replicate(from, *progress);
    }
    update_commit(now);
}

void agreement_leader::append(protocol::entry_kind kind, std::string data,
                              std::uint64_t token, time_point now)
{
    const auto index = core_.append_entry(kind, std::move(data));
    if (token != 0)
    {
        pending_proposals_.push_back({token, index});
    }
    progress_.update_members(core_.log().group(), core_.self(), index, now);
    replicate_to_all();
    update_commit(now);
}

void agreement_leader::propose(const proposal& request, time_point now)
{
    const auto reject = [&](error_kind kind, std::string message)
    {
        core_.add_effect(proposal_done{request.token, failure(kind, message)});
    };
    if (transfer_deadline_)
    {
        return reject(error_kind::not_leader,
                      "leadership is being transferred");
    }
    if (request.data.size() > protocol::max_command_size)
    {
        return reject(error_kind::resource_exhausted,
                      "command of " + std::to_string(request.data.size()) +
                          " bytes is too long");
    }
    if (pending_proposals_.size() >= core_.settings().max_pending_proposals)
    {
        return reject(error_kind::resource_exhausted,
                      "too many commands are waiting for a majority");
    }
    append(protocol::entry_kind::command, request.data, request.token, now);
}

bool agreement_leader::has_uncommitted_change() const
{
    return core_.log().group_index() > core_.commit_index() ||
           core_.commit_index() < first_index_of_term_;
}

result<protocol::replica_group>
agreement_leader::group_after(const membership_change& change) const
{
    const auto& faults = core_.settings().faults;
    if (transfer_deadline_)
    {
        return failure(error_kind::not_leader,
                       "leadership is being transferred");
    }
    if (!faults.concurrent_changes && has_uncommitted_change())
    {
        return failure(error_kind::change_in_progress,
                       "an earlier change or the start of this term is not "
                       "committed yet");
    }
    return changed_group(core_.log().group(), change, core_.self(),
                         core_.log().last().index + 1, faults);
}

void agreement_leader::propose(const membership_proposal& request,
                               time_point now)
{
    const auto group = group_after(request.change);
    if (!group)
    {
        core_.add_effect(
            proposal_done{request.token, tl::unexpected(group.error())});
        return;
    }
    append(protocol::entry_kind::membership,
           protocol::encode_replica_group(*group), request.token, now);
}

void agreement_leader::update_commit(time_point now)
{
    const auto index = progress_.majority_match(
        core_.log().group(), core_.self(), core_.log().last().index);
    // An entry of an earlier term can still be overwritten although a majority
    // stores it; it is committed together with a later entry of this term.
    const bool is_current_term = core_.log().term_at(index) == core_.term() ||
                                 core_.settings().faults.commit_earlier_terms;
    if (index > core_.commit_index() && is_current_term)
    {
        core_.advance_commit_index(index);
        answer_proposals();
        replicate_to_all();
    }
    answer_reads();
    promote_learner(now);
    continue_transfer();
}

void agreement_leader::answer_proposals()
{
    while (!pending_proposals_.empty() &&
           pending_proposals_.front().index <= core_.commit_index())
    {
        const auto& committed = pending_proposals_.front();
        core_.add_effect(proposal_done{committed.token, committed.index});
        pending_proposals_.pop_front();
    }
}

void agreement_leader::add_read(const read_request& request)
{
    ++heartbeat_round_;
    // A new leader does not know the commit index until an entry of its own
    // term is committed.
    pending_reads_.push_back(
        {request.token, std::max(core_.commit_index(), first_index_of_term_),
         heartbeat_round_});
    replicate_to_all();
    answer_reads();
}

void agreement_leader::answer_reads()
{
    const auto round = progress_.majority_round(core_.log().group(),
                                                core_.self(), heartbeat_round_);
    while (!pending_reads_.empty() && pending_reads_.front().round <= round &&
           pending_reads_.front().index <= core_.commit_index())
    {
        core_.add_effect(read_done{pending_reads_.front().token,
                                   pending_reads_.front().index});
        pending_reads_.pop_front();
    }
}

void agreement_leader::promote_learner(time_point now)
{
    if (has_uncommitted_change() || transfer_deadline_)
    {
        return;
    }
    const auto& group = core_.log().group();
    const auto learner = learner_to_promote(group, core_.settings().faults,
                                            [this](replica_id id)
                                            { return progress_.match_of(id); });
    if (learner.value != 0)
    {
        append(protocol::entry_kind::membership,
               protocol::encode_replica_group(promoted_group(group, learner)),
               0, now);
    }
}

void agreement_leader::transfer_leadership(time_point now)
{
    if (transfer_deadline_)
    {
        return;
    }
    transfer_deadline_ = now + core_.settings().election_timeout;
    continue_transfer();
}

void agreement_leader::continue_transfer()
{
    if (!transfer_deadline_ || transfer_sent_)
    {
        return;
    }
    transfer_target_ = progress_.most_advanced_voter(core_.log().group());
    if (transfer_target_.value == 0 ||
        progress_.match_of(transfer_target_) != core_.log().last().index)
    {
        return;
    }
    transfer_sent_ = true;
    core_.send_to_member(transfer_target_, protocol::leadership_transfer{});
}

void agreement_leader::fail_pending_requests()
{
    for (const auto& pending : pending_proposals_)
    {
        core_.add_effect(proposal_done{
            pending.token, failure(error_kind::timeout,
                                   "leadership was lost before a majority had "
                                   "confirmed the command")});
    }
    for (const auto& pending : pending_reads_)
    {
        core_.add_effect(
            read_done{pending.token,
                      failure(error_kind::not_leader, "leadership was lost")});
    }
    pending_proposals_.clear();
    pending_reads_.clear();
}

} // namespace boragestand::agreement
