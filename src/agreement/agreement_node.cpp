#include "agreement/agreement_node.hpp"

#include <utility>

namespace boragestand::agreement
{

std::string_view to_text(agreement_role role)
{
    switch (role)
    {
    case agreement_role::follower:
        return "follower";
    case agreement_role::pre_candidate:
        return "pre_candidate";
    case agreement_role::candidate:
        return "candidate";
    case agreement_role::leader:
        return "leader";
    }
    return "unknown";
}

agreement_node::agreement_node(agreement_start start,
                               const agreement_settings& settings)
    : core_(std::move(start), settings)
    , election_(core_, core_.seed())
    , receiver_(core_)
{
}

agreement_effects agreement_node::step(const agreement_event& event)
{
    if (!started_)
    {
        started_ = true;
        election_.restart_timeout(event.now);
    }
    // Checked before the event, so that a leader that was suspended for long
    // does not act on requests and replies that queued up meanwhile.
    step_down_if_needed(event.now);
    std::visit([&](const auto& input) { handle(input, event.now); },
               event.input);
    step_down_if_needed(event.now);
    return core_.take_effects();
}

void agreement_node::step_down_if_needed(time_point now)
{
    if (!leader_)
    {
        return;
    }
    if (const char* reason = leader_->reason_to_step_down(now))
    {
        election_.restart_timeout(now);
        become_follower({}, reason);
    }
}

void agreement_node::handle(const clock_tick&, time_point now)
{
    if (leader_)
    {
        election_.restart_timeout(now);
        leader_->tick(now);
        return;
    }
    if (election_.is_due(now))
    {
        start_election(now);
    }
}

void agreement_node::handle(const proposal& request, time_point now)
{
    if (!leader_)
    {
        core_.add_effect(proposal_done{
            request.token, failure(error_kind::not_leader, "not the leader")});
        return;
    }
    leader_->propose(request, now);
}

void agreement_node::handle(const membership_proposal& request, time_point now)
{
    if (!leader_)
    {
        core_.add_effect(proposal_done{
            request.token, failure(error_kind::not_leader, "not the leader")});
        return;
    }
    leader_->propose(request, now);
}

void agreement_node::handle(const read_request& request, time_point)
{
    if (!leader_)
    {
        core_.add_effect(read_done{
            request.token, failure(error_kind::not_leader, "not the leader")});
        return;
    }
    leader_->add_read(request);
}

void agreement_node::handle(const snapshot_taken& taken, time_point)
{
    core_.compact(taken);
}

void agreement_node::handle(const leadership_transfer_requested&,
                            time_point now)
{
    if (leader_)
    {
        leader_->transfer_leadership(now);
    }
}

void agreement_node::handle(const message_received& input, time_point now)
{
    const auto& envelope = input.envelope;
    // A message to another identity was meant for a disk that is lost. Only a
    // committed removal counts: an uncommitted one may be overwritten, and must
    // not make a replica ignore the leader that overwrites it.
    if (envelope.to != core_.self() ||
        committed_group().is_retired(envelope.from))
    {
        return;
    }
    if (envelope.term < core_.term())
    {
        reject_earlier_term(envelope);
        return;
    }
    if (envelope.term > core_.term() && !adopt_term(envelope, now))
    {
        return;
    }
    std::visit([&](const auto& message)
               { handle_message(envelope, message, now); },
               envelope.message);
}

// The rejection tells an old leader the newer term, so that it steps down, and
// a candidate that lost contact, so that it retries in that term.
void agreement_node::reject_earlier_term(
    const protocol::agreement_envelope& envelope)
{
    const auto* vote = std::get_if<protocol::vote_request>(&envelope.message);
    if (vote != nullptr && vote->pre_vote)
    {
        core_.send(envelope.from, envelope.reply_to,
                   protocol::vote_reply{true, false}, core_.term());
    }
    if (std::holds_alternative<protocol::append_request>(envelope.message) ||
        std::holds_alternative<protocol::snapshot_chunk>(envelope.message))
    {
        core_.send(envelope.from, envelope.reply_to, protocol::append_reply{},
                   core_.term());
    }
}

// Whether to process a message of a later term. The term is adopted unless the
// message is a pre-vote request or a granted pre-vote.
bool agreement_node::adopt_term(const protocol::agreement_envelope& envelope,
                                time_point now)
{
    const auto* request =
        std::get_if<protocol::vote_request>(&envelope.message);
    if (request != nullptr && !request->transfer && has_leader_contact(now))
    {
        return false;
    }
    if (request != nullptr && request->pre_vote)
    {
        return true;
    }
    const auto* reply = std::get_if<protocol::vote_reply>(&envelope.message);
    if (reply != nullptr && reply->pre_vote && reply->granted)
    {
        return true;
    }
    core_.set_term_and_vote(envelope.term, {});
    become_follower({}, "later term received");
    return true;
}

// A leader is always in contact with itself; step_down_if_needed() ends its
// leadership when it loses contact with a majority.
bool agreement_node::has_leader_contact(time_point now) const
{
    if (leader_)
    {
        return true;
    }
    return leader_id_.value != 0 && last_leader_contact_ &&
           now - *last_leader_contact_ < core_.settings().election_timeout;
}

bool agreement_node::is_in_contact(time_point now) const
{
    return leader_ ? leader_->reason_to_step_down(now) == nullptr
                   : has_leader_contact(now);
}

bool agreement_node::is_caught_up(time_point now) const
{
    const bool follows =
        leader_ || (last_caught_up_ &&
                    now - *last_caught_up_ < core_.settings().election_timeout);
    return follows && core_.log().term_at(core_.commit_index()) == core_.term();
}

std::vector<member_silence> agreement_node::silences(time_point now) const
{
    return leader_ ? leader_->silences(now) : std::vector<member_silence>{};
}

void agreement_node::handle_message(
    const protocol::agreement_envelope& envelope,
    const protocol::vote_request& request, time_point now)
{
    if (election_.handle_request(envelope, request))
    {
        election_.restart_timeout(now);
    }
}

void agreement_node::handle_message(
    const protocol::agreement_envelope& envelope,
    const protocol::vote_reply& reply, time_point now)
{
    const bool is_awaited =
        role_ == (reply.pre_vote ? agreement_role::pre_candidate
                                 : agreement_role::candidate);
    const auto expected_term = core_.term() + (reply.pre_vote ? 1 : 0);
    if (!is_awaited || (reply.granted && envelope.term != expected_term))
    {
        return;
    }
    const auto outcome = election_.count_reply(envelope.from, reply);
    if (outcome == agreement_election::outcome::lost)
    {
        become_follower({}, "refused by a majority");
        return;
    }
    if (outcome != agreement_election::outcome::won)
    {
        return;
    }
    if (reply.pre_vote)
    {
        start_vote(false, now);
        return;
    }
    become_leader(now);
}

void agreement_node::handle_message(
    const protocol::agreement_envelope& envelope,
    const protocol::append_request& request, time_point now)
{
    record_leader_contact(envelope.from, now);
    receiver_.handle(envelope, request);
    if (core_.commit_index() >= request.commit)
    {
        last_caught_up_ = now;
    }
}

void agreement_node::handle_message(
    const protocol::agreement_envelope& envelope,
    const protocol::snapshot_chunk& chunk, time_point now)
{
    record_leader_contact(envelope.from, now);
    receiver_.handle(envelope, chunk);
}

void agreement_node::handle_message(
    const protocol::agreement_envelope& envelope,
    const protocol::append_reply& reply, time_point now)
{
    if (leader_)
    {
        leader_->handle_reply(envelope.from, reply, now);
    }
}

void agreement_node::handle_message(
    const protocol::agreement_envelope& envelope,
    const protocol::snapshot_reply& reply, time_point now)
{
    if (leader_)
    {
        leader_->handle_reply(envelope.from, reply, now);
    }
}

void agreement_node::handle_message(const protocol::agreement_envelope&,
                                    const protocol::leadership_transfer&,
                                    time_point now)
{
    if (!leader_ && core_.is_voter())
    {
        start_vote(true, now);
    }
}

void agreement_node::start_election(time_point now)
{
    election_.restart_timeout(now);
    if (!core_.is_voter())
    {
        return;
    }
    if (core_.settings().faults.skip_pre_vote)
    {
        start_vote(false, now);
        return;
    }
    change_role(agreement_role::pre_candidate, {}, "no contact with a leader");
    if (election_.start_pre_vote() == agreement_election::outcome::won)
    {
        start_vote(false, now);
    }
}

void agreement_node::start_vote(bool transfer, time_point now)
{
    election_.restart_timeout(now);
    const auto outcome = election_.start_vote(transfer);
    change_role(agreement_role::candidate, {},
                transfer ? "leadership transferred" : "pre-vote won");
    if (outcome == agreement_election::outcome::won)
    {
        become_leader(now);
    }
}

void agreement_node::record_leader_contact(replica_id leader, time_point now)
{
    last_leader_contact_ = now;
    election_.set_leader_known();
    election_.restart_timeout(now);
    if (role_ != agreement_role::follower || leader_id_ != leader)
    {
        become_follower(leader, "leader found");
    }
}

void agreement_node::become_follower(replica_id leader, const char* reason)
{
    if (leader_)
    {
        leader_->fail_pending_requests();
        leader_.reset();
    }
    change_role(agreement_role::follower, leader, reason);
}

void agreement_node::become_leader(time_point now)
{
    change_role(agreement_role::leader, core_.self(), "elected");
    election_.set_leader_known();
    leader_.emplace(core_, now);
}

void agreement_node::change_role(agreement_role role, replica_id leader,
                                 const char* reason)
{
    role_ = role;
    leader_id_ = leader;
    core_.add_effect(role_changed{role, core_.term(), leader, reason});
}

} // namespace boragestand::agreement
