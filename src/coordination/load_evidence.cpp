#include "coordination/load_evidence.hpp"

#include "state/msgpack_codec.hpp"

#include <algorithm>

namespace boragestand::state::codec
{

using namespace coordination;

template <>
struct fields_of<upstream_evidence>
{
    static auto tie(auto& value)
    {
        return std::tie(value.token, value.busy_percent, value.answers,
                        value.answer_ms, value.unanswered);
    }
};

template <>
struct fields_of<evidence_report>
{
    static auto tie(auto& value)
    {
        return std::tie(value.writer, value.sequence, value.upstreams);
    }
};

} // namespace boragestand::state::codec

namespace boragestand::coordination
{

namespace
{

// A control instance sums up the reports of many writers.
constexpr std::size_t max_decoded_bytes = 64 * 1024;

std::string encode_whole(const evidence_report& report)
{
    const auto bytes = state::codec::encode(report);
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

// Failures first: there are few, and they matter most.
bool matters_more(const upstream_evidence& left, const upstream_evidence& right)
{
    return std::tie(left.unanswered, left.busy_percent, left.token) >
           std::tie(right.unanswered, right.busy_percent, right.token);
}

} // namespace

std::string encode_evidence(evidence_report report, std::size_t max_bytes)
{
    std::sort(report.upstreams.begin(), report.upstreams.end(), matters_more);
    auto text = encode_whole(report);
    while (text.size() > max_bytes && !report.upstreams.empty())
    {
        const auto kept = report.upstreams.size() * max_bytes / text.size();
        report.upstreams.resize(std::min(kept, report.upstreams.size() - 1));
        text = encode_whole(report);
    }
    return text;
}

result<evidence_report> decode_evidence(std::string_view bytes)
{
    return state::codec::decode<evidence_report>(
        std::as_bytes(std::span(bytes.data(), bytes.size())), max_decoded_bytes,
        "load evidence");
}

} // namespace boragestand::coordination
