#pragma once

#include "base/base.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::coordination
{

/// What one entry instance has measured of one upstream in an interval.
struct upstream_evidence
{
    std::uint32_t token{0};        ///< names the upstream's incarnation
    std::uint32_t busy_percent{0}; ///< requests in progress on average, x 100
    std::uint32_t answers{0};      ///< requests whose answer began
    std::uint32_t answer_ms{0};    ///< their mean time
    std::uint32_t unanswered{0};   ///< SYNs and requests without an answer

    auto operator<=>(const upstream_evidence&) const = default;
};

/// What a writer has measured of all upstreams in an interval. Upstreams that
/// are missing had nothing to report.
struct evidence_report
{
    std::uint64_t writer{0};   ///< identifies the writer's run
    std::uint64_t sequence{0}; ///< increases with each report of a run
    std::vector<upstream_evidence> upstreams;

    auto operator<=>(const evidence_report&) const = default;
};

/// Largest encoded report. Sent once a second, it is half of what an entry
/// instance may use for load data.
constexpr std::size_t max_evidence_bytes = 1500;

/// Encodes a report, without the least busy upstreams if it would be longer
/// than max_bytes.
std::string encode_evidence(evidence_report report,
                            std::size_t max_bytes = max_evidence_bytes);

/// Decodes what encode_evidence() wrote; error_kind::malformed_message
/// otherwise.
result<evidence_report> decode_evidence(std::string_view bytes);

} // namespace boragestand::coordination
