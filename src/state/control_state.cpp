#include "state/control_state.hpp"

#include "state/command_fields.hpp"
#include "state/configuration_fields.hpp"
#include "state/control_snapshot.hpp"
#include "state/note_application.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::state
{

namespace
{

/// Faults stored with an outcome; check_note() returns all of them.
constexpr std::size_t max_stored_faults = 20;

/// Refusals a minute that one agreement may allow to each instance.
constexpr std::uint32_t max_refusals_per_minute = 1000000;

/// Longest agreement in seconds; after it a director must be asked again.
constexpr std::uint32_t max_agreement_s = 7 * 24 * 3600;

constexpr std::size_t max_agreements = 1000;

command_outcome failed(error_kind kind, std::string message)
{
    return command_failed{{kind, std::move(message)}};
}

std::uint64_t hash_of(const command_action& action)
{
    return hash_bytes(codec::encode(action));
}

/// The reason for which an agreement is invalid, or nothing.
std::optional<error> check_agreement(const record_agreement& action,
                                     const configuration& current)
{
    const service* of = current.find_service(action.service);
    if (of == nullptr)
    {
        return error{error_kind::unknown_service,
                     "service " + action.service + " does not exist"};
    }
    if (action.director.empty())
    {
        return error{error_kind::invalid_argument, "director is empty"};
    }
    if (action.limit_per_minute < 1 ||
        action.limit_per_minute > max_refusals_per_minute)
    {
        return error{error_kind::invalid_argument,
                     "limit_per_minute must be from 1 to " +
                         std::to_string(max_refusals_per_minute)};
    }
    if (action.expires_in_s < 1 || action.expires_in_s > max_agreement_s)
    {
        return error{error_kind::invalid_argument,
                     "expires_in_s must be from 1 to " +
                         std::to_string(max_agreement_s)};
    }
    if (action.rule.empty())
    {
        return std::nullopt;
    }
    const auto covered = std::find_if(
        current.rules.begin(), current.rules.end(),
        [&](const rule& each)
        { return each.service == of->id && each.name == action.rule; });
    if (covered == current.rules.end())
    {
        return error{error_kind::not_found, "service " + action.service +
                                                " has no rule " + action.rule};
    }
    if (covered->action != rule_action::refuse)
    {
        return error{error_kind::invalid_argument,
                     "rule " + action.rule + " does not refuse callers"};
    }
    return std::nullopt;
}

/// Sets the drain of an override, which is added or removed as needed.
void set_override_drain(configuration& target, service_id service,
                        const std::string& upstream, bool drain)
{
    auto& overrides = target.overrides;
    const override_key key{service, upstream};
    const auto place = std::lower_bound(
        overrides.begin(), overrides.end(), key,
        [](const upstream_override& each, const override_key& wanted) {
            return override_key{each.service, each.upstream} < wanted;
        });
    const bool exists = place != overrides.end() && place->service == service &&
                        place->upstream == upstream;
    if (!exists)
    {
        if (drain)
        {
            overrides.insert(place, {service, upstream, std::nullopt, true});
        }
        return;
    }
    place->drain = drain;
    if (!drain && !place->weight)
    {
        overrides.erase(place);
    }
}

} // namespace

control_state::control_state(const control_limits& limits)
    : limits_(limits)
    , current_(std::make_shared<const configuration>())
    , requests_(limits.clients)
{
}

command_outcome control_state::apply(const command& value)
{
    const std::uint64_t action_hash = hash_of(value.action);
    if (auto known = requests_.find(value.request, action_hash))
    {
        return *known;
    }
    command_outcome outcome = run(value);
    requests_.remember(value.request, action_hash, outcome);
    return outcome;
}

std::optional<command_outcome>
control_state::find_outcome(const request_identity& request) const
{
    const request_record* record = requests_.find(request.client);
    if (record == nullptr || record->sequence != request.sequence)
    {
        return std::nullopt;
    }
    return record->outcome;
}

command_outcome control_state::run(const command& value)
{
    return std::visit([&](const auto& action)
                      { return run(action, value.proposed); },
                      value.action);
}

command_outcome control_state::run(const submit_note& action,
                                   wall_time proposed)
{
    document::fault_list unreadable;
    const release_note note = parse_release_note(action.text, unreadable);
    const std::string digest = compute_digest(note);
    if (unreadable.empty())
    {
        if (auto known = find_note_outcome(note.number, digest))
        {
            return *known;
        }
    }
    auto checked = check_release_note(action.text, *current_);
    if (!checked)
    {
        auto& faults = checked.error();
        faults.resize(std::min(faults.size(), max_stored_faults));
        return note_invalid{std::move(faults)};
    }
    const std::uint64_t revision =
        put_in_force(std::move(checked->next), proposed);
    store_note({note.number, digest, revision, action.text});
    return note_accepted{note.number, revision, false, digest};
}

std::optional<command_outcome>
control_state::find_note_outcome(std::uint64_t number,
                                 std::string_view digest) const
{
    const accepted_note* winner = find_note(number);
    if (winner != nullptr && winner->digest == digest)
    {
        return note_accepted{number, winner->revision, true, winner->digest};
    }
    if (winner != nullptr)
    {
        return note_conflict{
            {winner->number, winner->digest, winner->revision}};
    }
    if (number <= highest_dropped_note_)
    {
        return failed(error_kind::conflict,
                      "notes up to number " +
                          std::to_string(highest_dropped_note_) +
                          " are no longer remembered; use a greater number");
    }
    return std::nullopt;
}

command_outcome control_state::run(const record_agreement& action,
                                   wall_time proposed)
{
    if (auto fault = check_agreement(action, *current_))
    {
        return command_failed{std::move(*fault)};
    }
    if (current_->agreements.size() >= max_agreements)
    {
        return failed(error_kind::resource_exhausted,
                      "there are " + std::to_string(max_agreements) +
                          " agreements; withdraw one first");
    }
    configuration next = *current_;
    ++next.revision;
    // Revisions are unique, so the revision also identifies the agreement.
    next.agreements.push_back(
        {next.revision, action.director, next.find_service(action.service)->id,
         action.rule, action.limit_per_minute,
         proposed + std::chrono::seconds(action.expires_in_s)});
    const std::uint64_t revision = put_in_force(std::move(next), proposed);
    return agreement_recorded{revision, revision};
}

command_outcome control_state::run(const withdraw_agreement& action,
                                   wall_time proposed)
{
    configuration next = *current_;
    const auto removed =
        std::erase_if(next.agreements, [&](const refusal_agreement& each)
                      { return each.id == action.id; });
    if (removed == 0)
    {
        return failed(error_kind::not_found,
                      "agreement " + std::to_string(action.id) +
                          " does not exist or has ended");
    }
    ++next.revision;
    const std::uint64_t revision = put_in_force(std::move(next), proposed);
    return agreement_withdrawn{action.id, revision};
}

command_outcome control_state::run(const set_drain& action, wall_time proposed)
{
    const service* of = current_->find_service(action.service);
    if (of == nullptr)
    {
        return failed(error_kind::unknown_service,
                      "service " + action.service + " does not exist");
    }
    if (const auto expected = document::check_name(action.upstream))
    {
        return failed(error_kind::invalid_argument,
                      "upstream must be " + *expected);
    }
    configuration next = *current_;
    set_override_drain(next, of->id, action.upstream, action.drain);
    if (next.overrides == current_->overrides)
    {
        return drain_set{current_->revision};
    }
    if (next.overrides.size() > max_overrides)
    {
        return failed(error_kind::resource_exhausted,
                      "there are " + std::to_string(max_overrides) +
                          " overrides of upstreams");
    }
    ++next.revision;
    return drain_set{put_in_force(std::move(next), proposed)};
}

std::uint64_t control_state::put_in_force(configuration next,
                                          wall_time proposed)
{
    std::erase_if(next.agreements, [proposed](const refusal_agreement& each)
                  { return each.expires <= proposed; });
    deltas_.push_back(delta_between(*current_, next));
    if (deltas_.size() > limits_.deltas)
    {
        deltas_.pop_front();
    }
    current_ = std::make_shared<const configuration>(std::move(next));
    return current_->revision;
}

void control_state::store_note(accepted_note note)
{
    note_texts_.push_back(note.number);
    note_text_bytes_ += note.text.size();
    notes_[note.number] = std::move(note);
    while (
        note_texts_.size() > limits_.note_texts ||
        (note_text_bytes_ > limits_.note_text_bytes && note_texts_.size() > 1))
    {
        drop_oldest_text();
    }
    while (notes_.size() > limits_.notes)
    {
        drop_lowest_note();
    }
}

void control_state::drop_oldest_text()
{
    const auto found = notes_.find(note_texts_.front());
    note_texts_.pop_front();
    if (found != notes_.end())
    {
        note_text_bytes_ -= found->second.text.size();
        found->second.text.clear();
    }
}

void control_state::drop_lowest_note()
{
    const auto lowest = notes_.begin();
    highest_dropped_note_ = std::max(highest_dropped_note_, lowest->first);
    note_text_bytes_ -= lowest->second.text.size();
    std::erase(note_texts_, lowest->first);
    notes_.erase(lowest);
}

std::vector<document::fault>
control_state::check_note(std::string_view text) const
{
    const auto checked = check_release_note(text, *current_);
    return checked ? std::vector<document::fault>{} : checked.error();
}

const accepted_note* control_state::find_note(std::uint64_t number) const
{
    const auto found = notes_.find(number);
    return found == notes_.end() ? nullptr : &found->second;
}

std::vector<configuration_update>
control_state::updates_after(std::uint64_t revision) const
{
    if (revision >= current_->revision)
    {
        return {};
    }
    const auto first = std::find_if(deltas_.begin(), deltas_.end(),
                                    [revision](const configuration_delta& each)
                                    { return each.from_revision == revision; });
    if (first == deltas_.end())
    {
        return {*current_};
    }
    return {first, deltas_.end()};
}

std::vector<std::byte> control_state::encode_snapshot() const
{
    control_snapshot snapshot;
    snapshot.current = *current_;
    snapshot.requests = requests_.records();
    snapshot.request_floor = requests_.floor();
    snapshot.notes = notes_;
    snapshot.note_texts = {note_texts_.begin(), note_texts_.end()};
    snapshot.highest_dropped_note = highest_dropped_note_;
    snapshot.deltas = {deltas_.begin(), deltas_.end()};
    return codec::encode(snapshot);
}

result<control_state>
control_state::decode_snapshot(std::span<const std::byte> bytes,
                               const control_limits& limits)
{
    auto decoded = codec::decode<control_snapshot>(bytes, max_snapshot_size,
                                                   "control snapshot");
    if (!decoded)
    {
        return tl::unexpected(decoded.error());
    }
    control_state state(limits);
    state.current_ =
        std::make_shared<const configuration>(std::move(decoded->current));
    state.requests_ = request_table::restore(
        limits.clients, decoded->request_floor, std::move(decoded->requests));
    state.notes_ = std::move(decoded->notes);
    state.note_texts_ = {decoded->note_texts.begin(),
                         decoded->note_texts.end()};
    for (const auto& [number, note] : state.notes_)
    {
        state.note_text_bytes_ += note.text.size();
    }
    state.highest_dropped_note_ = decoded->highest_dropped_note;
    state.deltas_ = {decoded->deltas.begin(), decoded->deltas.end()};
    return state;
}

} // namespace boragestand::state
