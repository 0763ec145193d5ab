#include "control_group.hpp"

#include <algorithm>

namespace boragestand::ctl
{

namespace
{

using transport::endpoint;
using transport::http_request;
using transport::http_response;

/// Whether to retry at another instance, or at the same one later.
bool should_retry(const result<http_response>& response)
{
    if (!response)
    {
        return true;
    }
    if (response->status < 400)
    {
        return false;
    }
    switch (state::parse_error(*response).kind)
    {
    case error_kind::not_leader:
    case error_kind::no_quorum:
    case error_kind::unavailable:
    case error_kind::timeout:
    case error_kind::cancelled:
        return true;
    default:
        return false;
    }
}

/// Whether an instance did not answer in time.
bool is_timeout(const result<http_response>& response)
{
    return !response && response.error().kind == error_kind::timeout;
}

} // namespace

control_group::control_group(transport::main_loop& loop,
                             transport::timer_service& timers,
                             std::vector<endpoint> control,
                             const group_limits& limits)
    : loop_(loop)
    , timers_(timers)
    , control_(std::move(control))
    , limits_(limits)
    , deadline_(timers.now() + limits.timeout)
{
}

bool control_group::has_timed_out() const
{
    return timers_.now() >= deadline_;
}

duration control_group::compute_attempt_timeout() const
{
    const duration left = deadline_ - timers_.now();
    return std::clamp<duration>(left, std::chrono::milliseconds(1),
                                limits_.attempt_timeout);
}

transport::http2_client& control_group::client_for(const endpoint& target)
{
    auto& client = clients_[target];
    if (!client)
    {
        client =
            std::make_unique<transport::http2_client>(loop_, timers_, target);
    }
    return *client;
}

void control_group::add_instance(const endpoint& instance)
{
    if (std::find(control_.begin(), control_.end(), instance) == control_.end())
    {
        control_.push_back(instance);
    }
}

void control_group::wait(duration time)
{
    const duration left = deadline_ - timers_.now();
    if (left <= duration::zero())
    {
        return;
    }
    const auto timer = timers_.after(std::min(time, left),
                                     [this](time_point) { loop_.quit(); });
    loop_.run();
}

result<http_response> control_group::ask(const endpoint& target,
                                         http_request request)
{
    std::optional<result<http_response>> answer;
    client_for(target).request(std::move(request), compute_attempt_timeout(),
                               [&](result<http_response> response)
                               {
                                   answer = std::move(response);
                                   loop_.quit();
                               });
    while (!answer)
    {
        loop_.run();
    }
    if (!*answer)
    {
        answer->error().message =
            transport::to_string(target) + ": " + answer->error().message;
    }
    return *std::move(answer);
}

std::vector<group_answer> control_group::ask_all(const http_request& request)
{
    std::vector<std::optional<result<http_response>>> answers(control_.size());
    std::size_t missing = control_.size();
    for (std::size_t i = 0; i < control_.size(); ++i)
    {
        client_for(control_[i])
            .request(request, compute_attempt_timeout(),
                     [&, i](result<http_response> response)
                     {
                         answers[i] = std::move(response);
                         --missing;
                         loop_.quit();
                     });
    }
    while (missing > 0)
    {
        loop_.run();
    }
    std::vector<group_answer> list;
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        list.push_back({control_[i], *std::move(answers[i])});
    }
    return list;
}

result<http_response> control_group::ask_any(const http_request& request)
{
    result<http_response> last =
        failure(error_kind::unavailable, "no control instance is given");
    for (const endpoint& target : std::vector<endpoint>(control_))
    {
        last = ask(target, request);
        if (!should_retry(last))
        {
            return last;
        }
    }
    return last;
}

std::optional<endpoint>
control_group::parse_leader_header(const result<http_response>& response) const
{
    if (!response)
    {
        return std::nullopt;
    }
    const auto header = response->headers.find("leader");
    if (header == response->headers.end())
    {
        return std::nullopt;
    }
    const auto leader = transport::parse_endpoint(header->second);
    return leader ? std::optional<endpoint>(*leader) : std::nullopt;
}

endpoint control_group::next_instance_after(const endpoint& tried) const
{
    auto place = std::find(control_.begin(), control_.end(), tried);
    if (place == control_.end() || ++place == control_.end())
    {
        return control_.front();
    }
    return *place;
}

result<http_response> control_group::ask_leader(const http_request& request)
{
    if (control_.empty())
    {
        return failure(error_kind::invalid_argument,
                       "no control instance is given");
    }
    endpoint target = control_.front();
    std::optional<result<http_response>> best;
    for (std::size_t attempt = 1;; ++attempt)
    {
        const bool is_shortened =
            compute_attempt_timeout() < limits_.attempt_timeout;
        const result<http_response> response = ask(target, request);
        if (!should_retry(response))
        {
            return response;
        }
        // A timeout of an attempt that was shortened by the command deadline
        // must not replace a more specific earlier error.
        if (!best || !is_shortened || !is_timeout(response))
        {
            best = response;
        }
        if (has_timed_out())
        {
            return *best;
        }
        const auto leader = parse_leader_header(response);
        // An instance may name itself, or one that has just failed.
        target =
            leader && *leader != target ? *leader : next_instance_after(target);
        if (attempt % control_.size() == 0)
        {
            wait(limits_.retry_delay);
        }
    }
}

} // namespace boragestand::ctl
