#include "agreement/agreement_core.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::agreement
{

agreement_core::agreement_core(agreement_start start,
                               const agreement_settings& settings)
    : settings_(settings)
    , hard_state_(start.hard)
    , address_(start.address)
    , seed_(start.seed)
    , log_(std::move(start.snapshot), std::move(start.entries))
    , commit_index_(std::max(log_.snapshot()->last.index,
                             std::min(start.applied, log_.last().index)))
    , committed_bytes_(
          log_.bytes_between(log_.snapshot()->last.index + 1, commit_index_))
{
    // The program restores its state machine from the same snapshot, or keeps
    // the one that holds the entries up to start.applied.
}

void agreement_core::set_term_and_vote(std::uint64_t term, replica_id vote)
{
    if (term == hard_state_.term && vote == hard_state_.vote)
    {
        return;
    }
    hard_state_.term = term;
    hard_state_.vote = vote;
    hard_state_changed_ = true;
}

std::uint64_t agreement_core::append_entry(protocol::entry_kind kind,
                                           std::string data)
{
    const auto index = log_.last().index + 1;
    unsaved_entries_.push_back({index, term(), kind, std::move(data)});
    log_.append({unsaved_entries_.back()});
    return index;
}

bool agreement_core::store_entries(
    const std::vector<protocol::log_entry>& entries)
{
    const auto first_new =
        std::find_if(entries.begin(), entries.end(),
                     [this](const protocol::log_entry& entry)
                     { return log_.term_at(entry.index) != entry.term; });
    if (first_new == entries.end())
    {
        return true;
    }
    if (first_new->index <= commit_index_)
    {
        add_effect(invariant_broken{
            "entry " + std::to_string(first_new->index) + " of term " +
            std::to_string(first_new->term) +
            " contradicts a committed entry; commit index is " +
            std::to_string(commit_index_)});
        return false;
    }
    unsaved_entries_.assign(first_new, entries.end());
    log_.append(unsaved_entries_);
    return true;
}

void agreement_core::advance_commit_index(std::uint64_t index)
{
    while (commit_index_ < std::min(index, log_.last().index))
    {
        ++commit_index_;
        add_effect(apply_entry{log_.at(commit_index_)});
        committed_bytes_ += log_.bytes_between(commit_index_, commit_index_);
    }
    request_snapshot_if_due();
}

void agreement_core::request_snapshot_if_due()
{
    const auto newest =
        std::max(requested_snapshot_, log_.snapshot()->last.index);
    if (commit_index_ >= newest + settings_.snapshot_interval ||
        committed_bytes_ >= settings_.snapshot_interval_bytes)
    {
        requested_snapshot_ = commit_index_;
        committed_bytes_ = 0;
        add_effect(snapshot_requested{commit_index_});
    }
}

void agreement_core::install_snapshot(protocol::agreement_snapshot snapshot)
{
    log_.install(std::move(snapshot));
    commit_index_ = log_.snapshot()->last.index;
    committed_bytes_ = 0;
    unsaved_entries_.clear();
    unsaved_snapshot_ = persist_snapshot{log_.snapshot(), true};
    add_effect(restore_snapshot{log_.snapshot()});
}

void agreement_core::compact(const snapshot_taken& taken)
{
    if (taken.index > commit_index_ ||
        taken.index <= log_.snapshot()->last.index)
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
    add_effect(send_message{address,
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

void agreement_core::add_effect(agreement_effect effect)
{
    effects_.push_back(std::move(effect));
}

agreement_effects agreement_core::take_effects()
{
    agreement_effects storage_effects;
    if (hard_state_changed_)
    {
        storage_effects.emplace_back(persist_hard_state{hard_state_});
    }
    if (unsaved_snapshot_)
    {
        storage_effects.emplace_back(std::move(*unsaved_snapshot_));
    }
    if (!unsaved_entries_.empty())
    {
        storage_effects.emplace_back(
            persist_entries{std::move(unsaved_entries_)});
    }
    hard_state_changed_ = false;
    unsaved_snapshot_.reset();
    unsaved_entries_.clear();
    auto& first =
        settings_.faults.answer_before_sync ? effects_ : storage_effects;
    auto& second =
        settings_.faults.answer_before_sync ? storage_effects : effects_;
    std::move(second.begin(), second.end(), std::back_inserter(first));
    agreement_effects ordered = std::move(first);
    effects_.clear();
    return ordered;
}

} // namespace boragestand::agreement
