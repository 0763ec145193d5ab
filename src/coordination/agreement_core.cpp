#include "coordination/agreement_core.hpp"

#include <algorithm>

namespace boragestand::coordination
{

agreement_core::agreement_core(agreement_start start,
                               const agreement_settings& settings)
    : settings_(settings)
    , hard_(start.hard)
    , address_(start.address)
    , log_(std::move(start.snapshot), start.entries)
    , commit_(log_.snapshot()->last.index)
{
    // The program restores its state machine from the same snapshot.
}

void agreement_core::change_term(std::uint64_t term, replica_id vote)
{
    if (term == hard_.term && vote == hard_.vote)
    {
        return;
    }
    hard_.term = term;
    hard_.vote = vote;
    hard_state_changed_ = true;
}

std::uint64_t agreement_core::append_own(protocol::entry_kind kind,
                                         std::string data)
{
    const auto index = log_.last().index + 1;
    const protocol::log_entry entry{index, term(), kind, std::move(data)};
    log_.append({entry});
    unsaved_.push_back(entry);
    return index;
}

bool agreement_core::store(const std::vector<protocol::log_entry>& entries)
{
    const auto fresh =
        std::find_if(entries.begin(), entries.end(),
                     [this](const protocol::log_entry& entry)
                     { return log_.term_at(entry.index) != entry.term; });
    if (fresh == entries.end())
    {
        return true;
    }
    if (fresh->index <= commit_)
    {
        emit(invariant_broken{
            "entry " + std::to_string(fresh->index) + " of term " +
            std::to_string(fresh->term) +
            " contradicts a committed entry; commit index is " +
            std::to_string(commit_)});
        return false;
    }
    unsaved_.assign(fresh, entries.end());
    log_.append(unsaved_);
    return true;
}

void agreement_core::commit_to(std::uint64_t index)
{
    while (commit_ < std::min(index, log_.last().index))
    {
        ++commit_;
        emit(apply_entry{log_.at(commit_)});
    }
    want_snapshot();
}

void agreement_core::want_snapshot()
{
    const auto newest = std::max(wanted_snapshot_, log_.snapshot()->last.index);
    if (commit_ >= newest + settings_.snapshot_interval)
    {
        wanted_snapshot_ = commit_;
        emit(snapshot_wanted{commit_});
    }
}

void agreement_core::install(protocol::agreement_snapshot snapshot)
{
    log_.install(std::move(snapshot));
    commit_ = log_.snapshot()->last.index;
    unsaved_.clear();
    unsaved_snapshot_ = persist_snapshot{log_.snapshot(), true};
    emit(restore_snapshot{log_.snapshot()});
}

void agreement_core::compact(const snapshot_taken& taken)
{
    if (taken.index > commit_ || taken.index <= log_.snapshot()->last.index)
    {
        return;
    }
    log_.compact(taken.index, taken.data);
    unsaved_snapshot_ = persist_snapshot{log_.snapshot(), false};
}

void agreement_core::send(replica_id to, const transport::endpoint& address,
                          protocol::agreement_message message,
                          std::uint64_t term)
{
    emit(send_message{address,
                      {self(), to, address_, term, std::move(message)}});
}

void agreement_core::send_to_member(replica_id to,
                                    protocol::agreement_message message)
{
    const auto* member = log_.group().find(to);
    if (member != nullptr)
    {
        send(to, member->address, std::move(message), term());
    }
}

void agreement_core::emit(agreement_effect effect)
{
    effects_.push_back(std::move(effect));
}

agreement_effects agreement_core::take_effects()
{
    agreement_effects durable;
    if (hard_state_changed_)
    {
        durable.emplace_back(persist_hard_state{hard_});
    }
    if (unsaved_snapshot_)
    {
        durable.emplace_back(std::move(*unsaved_snapshot_));
    }
    if (!unsaved_.empty())
    {
        durable.emplace_back(persist_entries{std::move(unsaved_)});
    }
    hard_state_changed_ = false;
    unsaved_snapshot_.reset();
    unsaved_.clear();
    auto& first = settings_.faults.answer_before_sync ? effects_ : durable;
    auto& second = settings_.faults.answer_before_sync ? durable : effects_;
    std::move(second.begin(), second.end(), std::back_inserter(first));
    agreement_effects ordered = std::move(first);
    effects_.clear();
    return ordered;
}

} // namespace boragestand::coordination
