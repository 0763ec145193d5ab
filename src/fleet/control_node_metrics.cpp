#include "fleet/control_node.hpp"

namespace boragestand::fleet
{

std::string control_node::metrics() const
{
    const auto& node = runner_->node();
    std::string text;
    append_gauge(text, "boragestand_leader", "1 if this instance leads",
                 runner_->is_leader() ? 1 : 0);
    append_gauge(text, "boragestand_current",
                 "1 if in contact with a majority of the group",
                 is_current() ? 1 : 0);
    append_gauge(text, "boragestand_term", "Term of the group", node.term());
    append_gauge(text, "boragestand_commit_index", "Last committed entry",
                 node.commit_index());
    append_gauge(text, "boragestand_disk_free_bytes",
                 "Bytes that can still be written to the disk of the log",
                 runner_->free_bytes().value_or(0));
    append_gauge(text, "boragestand_log_bytes",
                 "Entries after the newest snapshot, in memory",
                 node.log_bytes());
    append_gauge(text, "boragestand_members", "Members of the group",
                 node.group().members.size());
    append_gauge(text, "boragestand_plan_version",
                 "Version of the plan in force", plan().version);
    append_counter(text, "boragestand_plan_pages_total",
                   "Pages of plans sent to entry instances",
                   directory_.plans().pages());
    append_counter(text, "boragestand_plan_bytes_total", "Bytes of these pages",
                   directory_.plans().bytes());
    append_gauge(text, "boragestand_upstreams", "Upstreams known",
                 registry_.size());
    append_gauge(text, "boragestand_entries",
                 "Entry instances that asked for the directory",
                 directory_.entry_count());
    append_evacuation_metrics(text);
    append_gauge(text, "boragestand_load_reports",
                 "Load reports of other instances in use",
                 directory_.load().report_count());
    append_gauge(text, "boragestand_cold_upstreams",
                 "Cold upstreams with a rate that report here",
                 granter_.size());
    submissions_.append_to(text, "boragestand_submission_seconds",
                           "From a plan to its acknowledgement");
    leaves_.answer_times().append_to(
        text, "boragestand_leave_seconds",
        "From the leave of an upstream to its answer");
    return text;
}

} // namespace boragestand::fleet
