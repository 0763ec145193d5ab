#include "traffic/load_tracker.hpp"

#include "traffic/packet_arithmetic.hpp"

#include <algorithm>

namespace boragestand::traffic
{

namespace
{

std::uint32_t rounded_ms(duration span)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

void load_tracker::change_running(counts& target, int difference,
                                  time_point now) const
{
    target.busy +=
        target.running * (now - std::max(target.changed, interval_start_));
    target.changed = now;
    target.running += static_cast<std::uint32_t>(difference);
}

void load_tracker::follow(request_progress& progress, routing_token upstream,
                          const token_packet& packet, time_point now)
{
    if (progress.running && packet.ack &&
        is_after(packet.acknowledged, progress.acknowledged))
    {
        auto& target = counts_[upstream];
        change_running(target, -1, now);
        ++target.answers;
        target.answer_time += now - progress.since;
        progress.running = false;
    }
    const auto end = packet.sequence + packet.data_size;
    const bool has_new_data =
        packet.data_size > 0 && (!progress.end || is_after(end, *progress.end));
    if (!has_new_data)
    {
        return;
    }
    progress.end = end;
    progress.since = now;
    if (!progress.running)
    {
        progress.running = true;
        progress.reported = false;
        progress.acknowledged = packet.acknowledged;
        change_running(counts_[upstream], 1, now);
    }
}

void load_tracker::check(request_progress& progress, routing_token upstream,
                         time_point now)
{
    if (progress.running && !progress.reported &&
        now - progress.since >= answer_limit)
    {
        progress.reported = true;
        ++counts_[upstream].unanswered;
    }
}

void load_tracker::end(request_progress& progress, routing_token upstream,
                       time_point now)
{
    if (!progress.running)
    {
        return;
    }
    auto& target = counts_[upstream];
    change_running(target, -1, now);
    target.unanswered += progress.reported ? 0 : 1;
    progress.running = false;
}

std::uint32_t load_tracker::in_progress(routing_token upstream) const
{
    const auto found = counts_.find(upstream);
    return found == counts_.end() ? 0 : found->second.running;
}

std::vector<coordination::upstream_evidence> load_tracker::take(time_point now)
{
    const duration interval = std::max(now - interval_start_, duration(1));
    std::vector<coordination::upstream_evidence> evidence;
    for (auto it = counts_.begin(); it != counts_.end();)
    {
        auto& each = it->second;
        change_running(each, 0, now);
        coordination::upstream_evidence measured;
        measured.token = it->first;
        measured.busy_percent =
            static_cast<std::uint32_t>(100 * each.busy / interval);
        measured.answers = each.answers;
        measured.answer_ms =
            each.answers > 0 ? rounded_ms(each.answer_time / each.answers) : 0;
        measured.unanswered = each.unanswered;
        const bool idle = measured.busy_percent == 0 && each.answers == 0 &&
                          each.unanswered == 0;
        if (!idle)
        {
            evidence.push_back(measured);
        }
        if (idle && each.running == 0)
        {
            it = counts_.erase(it);
            continue;
        }
        each = {each.running, now, duration(0), 0, duration(0), 0};
        ++it;
    }
    interval_start_ = now;
    return evidence;
}

} // namespace boragestand::traffic
