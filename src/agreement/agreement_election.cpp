#include "agreement/agreement_election.hpp"

namespace boragestand::agreement
{

agreement_election::agreement_election(agreement_core& core, std::uint64_t seed)
    : core_(core), random_(seed)
{
}

void agreement_election::restart_timeout(time_point now)
{
    const auto& settings = core_.settings();
    const duration minimum = leader_known_
                                 ? settings.election_timeout
                                 : settings.first_election_timeout.value_or(
                                       settings.election_timeout);
    const auto random_part =
        random_.below(static_cast<std::uint64_t>(minimum.count()));
    deadline_ =
        now + minimum + duration(static_cast<duration::rep>(random_part));
}

agreement_election::outcome agreement_election::start_pre_vote()
{
    return request_votes(true, false);
}

agreement_election::outcome agreement_election::start_vote(bool transfer)
{
    core_.set_term_and_vote(core_.term() + 1, core_.self());
    return request_votes(false, transfer);
}

agreement_election::outcome agreement_election::request_votes(bool pre_vote,
                                                              bool transfer)
{
    pre_vote_ = pre_vote;
    granted_ = {core_.self()};
    refused_.clear();
    const auto term = core_.term() + (pre_vote ? 1 : 0);
    const protocol::vote_request request{pre_vote, transfer,
                                         core_.log().last()};
    for (const auto& member : core_.log().group().members)
    {
        if (member.voter && member.id != core_.self())
        {
            core_.send(member.id, member.address, request, term);
        }
    }
    return current_outcome();
}

agreement_election::outcome
agreement_election::count_reply(replica_id from,
                                const protocol::vote_reply& reply)
{
    if (reply.pre_vote != pre_vote_)
    {
        return outcome::pending;
    }
    (reply.granted ? granted_ : refused_).insert(from);
    return current_outcome();
}

agreement_election::outcome agreement_election::current_outcome() const
{
    const auto& group = core_.log().group();
    const auto voters_in = [&group](const std::set<replica_id>& ids)
    {
        std::size_t count = 0;
        for (const auto id : ids)
        {
            count += group.is_voter(id) ? 1 : 0;
        }
        return count;
    };
    if (voters_in(granted_) * 2 > group.voter_count())
    {
        return outcome::won;
    }
    const bool majority_refused =
        voters_in(refused_) * 2 >= group.voter_count();
    return majority_refused ? outcome::lost : outcome::pending;
}

bool agreement_election::handle_request(
    const protocol::agreement_envelope& envelope,
    const protocol::vote_request& request)
{
    const auto own_last = core_.log().last();
    const bool log_is_up_to_date = request.last.term > own_last.term ||
                                   (request.last.term == own_last.term &&
                                    request.last.index >= own_last.index);
    const bool vote_is_available =
        request.pre_vote
            ? envelope.term > core_.term()
            : core_.vote().value == 0 || core_.vote() == envelope.from;
    const bool granted = log_is_up_to_date && vote_is_available;
    if (granted && !request.pre_vote)
    {
        core_.set_term_and_vote(core_.term(), envelope.from);
    }
    // The reply to a granted pre-vote carries the term of the candidacy.
    const auto term = granted ? envelope.term : core_.term();
    core_.send(envelope.from, envelope.reply_to,
               protocol::vote_reply{request.pre_vote, granted}, term);
    return granted && !request.pre_vote;
}

} // namespace boragestand::agreement
