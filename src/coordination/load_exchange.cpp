#include "coordination/load_exchange.hpp"

#include <algorithm>
#include <iterator>

namespace boragestand::coordination
{

namespace
{

// A control instance may use 30 KB a second for load data. Ten others that get
// a sum a second leave half of it to the entry instances.
constexpr std::size_t max_sum_bytes = 1500;

/// Sum of the evidence of several writers.
class evidence_sum
{
public:
    void add(const evidence_report& report)
    {
        for (const auto& each : report.upstreams)
        {
            auto& total = totals_[each.token];
            total.token = each.token;
            total.busy_percent += each.busy_percent;
            total.answers += each.answers;
            total.unanswered += each.unanswered;
            answer_time_[each.token] +=
                std::uint64_t{each.answers} * each.answer_ms;
        }
    }

    std::vector<upstream_evidence> upstreams() const
    {
        std::vector<upstream_evidence> list;
        for (const auto& [token, total] : totals_)
        {
            list.push_back(total);
            if (total.answers > 0)
            {
                list.back().answer_ms = static_cast<std::uint32_t>(
                    answer_time_.at(token) / total.answers);
            }
        }
        return list;
    }

private:
    std::map<std::uint32_t, upstream_evidence> totals_;
    std::map<std::uint32_t, std::uint64_t> answer_time_;
};

} // namespace

result<void> load_exchange::take(report_map& reports,
                                 const transport::endpoint& sender,
                                 std::string_view bytes, time_point now)
{
    auto report = decode_evidence(bytes);
    if (!report)
    {
        return tl::unexpected(report.error());
    }
    const auto found = reports.find(sender);
    // Another run of the writer replaces what the former one reported.
    const bool late = found != reports.end() &&
                      found->second.report.writer == report->writer &&
                      found->second.report.sequence >= report->sequence;
    if (!late)
    {
        reports[sender] = {std::move(*report), now};
    }
    return {};
}

result<void> load_exchange::take_entry_report(const transport::endpoint& sender,
                                              std::string_view bytes,
                                              time_point now)
{
    return take(entries_, sender, bytes, now);
}

result<void> load_exchange::take_control_sum(const transport::endpoint& sender,
                                             std::string_view bytes,
                                             time_point now)
{
    return take(controls_, sender, bytes, now);
}

void load_exchange::expire(time_point now)
{
    std::erase_if(entries_, [now](const auto& each)
                  { return now - each.second.at > evidence_lifetime; });
    std::erase_if(controls_, [now](const auto& each)
                  { return now - each.second.at > sum_lifetime; });
    std::erase_if(sent_, [now](const auto& each)
                  { return now - each.second > evidence_lifetime; });
}

bool load_exchange::is_due(const transport::endpoint& receiver, time_point now)
{
    const auto [last, added] = sent_.try_emplace(receiver, now);
    if (!added && now - last->second < send_interval)
    {
        return false;
    }
    last->second = now;
    return true;
}

std::string
load_exchange::encode_sum(const std::vector<const report_map*>& sources,
                          std::size_t max_bytes, time_point now)
{
    evidence_sum sum;
    for (const auto* source : sources)
    {
        for (const auto& [sender, received] : *source)
        {
            if (now - received.at <= evidence_lifetime)
            {
                sum.add(received.report);
            }
        }
    }
    auto upstreams = sum.upstreams();
    if (upstreams.empty())
    {
        return {};
    }
    return encode_evidence({run_, ++sequence_, std::move(upstreams)},
                           max_bytes);
}

std::string load_exchange::make_sum(const transport::endpoint& receiver,
                                    time_point now)
{
    if (entries_.empty() || !is_due(receiver, now))
    {
        return {};
    }
    return encode_sum({&entries_}, max_sum_bytes, now);
}

std::string load_exchange::make_aggregate(const transport::endpoint& receiver,
                                          time_point now)
{
    if ((entries_.empty() && controls_.empty()) || !is_due(receiver, now))
    {
        return {};
    }
    return encode_sum({&entries_, &controls_}, max_evidence_bytes, now);
}

} // namespace boragestand::coordination
