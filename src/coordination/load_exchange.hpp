#pragma once

#include "coordination/load_evidence.hpp"
#include "transport/transport.hpp"

#include <map>

namespace boragestand::coordination
{

/// Joins at a control instance what entry instances have measured of upstreams.
/// Each control instance sums the reports of the entry instances that it
/// serves, and passes the sum to the others; the aggregate of all is the sum of
/// the sums. A report replaces the one before of its writer and counts for
/// evidence_lifetime, so that a writer that is lost or frozen does no harm for
/// long. Does no I/O; times are passed in.
class load_exchange
{
public:
    /// Reports older than this are not used: three intervals, so that one may
    /// be lost and one late.
    static constexpr duration evidence_lifetime = std::chrono::seconds(3);

    /// Sums of other control instances count for less, since they hold reports
    /// that may have been as old when they were sent.
    static constexpr duration sum_lifetime = std::chrono::seconds(2);

    /// Shortest time between two sums for one receiver.
    static constexpr duration send_interval = std::chrono::milliseconds(900);

    /// run identifies this run of the control instance.
    explicit load_exchange(std::uint64_t run) : run_(run) {}

    /// Takes the report of an entry instance.
    result<void> take_entry_report(const transport::endpoint& sender,
                                   std::string_view bytes, time_point now);

    /// Takes the sum of another control instance.
    result<void> take_control_sum(const transport::endpoint& sender,
                                  std::string_view bytes, time_point now);

    /// Sum of the entry instances of this control instance, for another one;
    /// empty if it was sent there within send_interval, or if there is nothing
    /// to tell.
    std::string make_sum(const transport::endpoint& receiver, time_point now);

    /// Aggregate over all entry instances, for one of them; empty as above.
    std::string make_aggregate(const transport::endpoint& receiver,
                               time_point now);

    /// Number of reports in use.
    std::size_t report_count() const
    {
        return entries_.size() + controls_.size();
    }

    /// Removes what is too old to be used.
    void expire(time_point now);

private:
    struct received_report
    {
        evidence_report report;
        time_point at;
    };

    using report_map = std::map<transport::endpoint, received_report>;

    static result<void> take(report_map& reports,
                             const transport::endpoint& sender,
                             std::string_view bytes, time_point now);
    bool is_due(const transport::endpoint& receiver, time_point now);
    std::string encode_sum(const std::vector<const report_map*>& sources,
                           std::size_t max_bytes, time_point now);

    std::uint64_t run_;
    std::uint64_t sequence_{0};
    report_map entries_;
    report_map controls_;
    std::map<transport::endpoint, time_point> sent_;
};

} // namespace boragestand::coordination
