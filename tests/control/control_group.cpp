#include "control_group.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

namespace boragestand::testing
{

namespace
{

constexpr duration wait_limit = std::chrono::seconds(60);
constexpr duration check_interval = std::chrono::milliseconds(10);
constexpr duration answer_timeout = std::chrono::seconds(10);
constexpr std::uint32_t director = 9;

// The event log can be opened only once per process.
settings::event_log& process_log()
{
    static const auto log = std::move(
        *settings::event_log::open({settings::log_level::warn, ""}, "test"));
    return *log;
}

} // namespace

// Each process uses its own loopback network, since tests run in parallel.
control_group::control_group()
    : root_(::testing::TempDir() + "control_" + std::to_string(::getpid()))
    , network_((127U << 24) |
               ((128 + static_cast<std::uint32_t>(::getpid()) % 32768) << 8))
    , log_(process_log())
{
    std::filesystem::create_directory(root_);
}

control_group::~control_group()
{
    programs_.clear();
    std::filesystem::remove_all(root_);
}

std::string control_group::directory(std::uint32_t instance) const
{
    return root_ + "/" + std::to_string(instance);
}

transport::endpoint control_group::address(std::uint32_t instance) const
{
    return {network_ + instance, 7200};
}

settings::control_settings
control_group::make_settings(std::uint32_t instance) const
{
    settings::control_settings value;
    value.instance = {instance, "c" + std::to_string(instance), "dc"};
    value.http = transport::to_string(address(instance));
    value.data_directory = directory(instance);
    for (const std::uint32_t member : {1U, 2U, 3U})
    {
        value.members.push_back({member, "c" + std::to_string(member),
                                 transport::to_string(address(member))});
    }
    value.entries = {{41, "entry"}};
    value.director.address = transport::to_string(address(director));
    return value;
}

result<void> control_group::start(std::uint32_t instance)
{
    return control::control_program::open(loop_, timers_,
                                          make_settings(instance), log_)
        .map([&](auto program) { programs_[instance] = std::move(program); });
}

void control_group::kill(std::uint32_t instance)
{
    programs_.erase(instance);
}

void control_group::delete_data(std::uint32_t instance)
{
    std::filesystem::remove_all(directory(instance));
}

bool control_group::run_until(const std::function<bool()>& condition)
{
    const auto deadline = timers_.now() + wait_limit;
    const auto check =
        timers_.every(check_interval, [this](time_point) { loop_.quit(); });
    while (!condition())
    {
        if (timers_.now() > deadline)
        {
            return false;
        }
        loop_.run();
    }
    return true;
}

result<transport::http_response>
control_group::ask(std::uint32_t instance, transport::http_request request)
{
    transport::http2_client client(loop_, timers_, address(instance));
    std::optional<result<transport::http_response>> answer;
    client.request(std::move(request), answer_timeout,
                   [&](result<transport::http_response> response)
                   { answer = std::move(response); });
    run_until([&] { return answer.has_value(); });
    return *answer;
}

transport::http_response
control_group::ask_leader(const transport::http_request& request)
{
    transport::http_response last;
    run_until(
        [&]
        {
            const auto target = leader();
            const auto answer = target == 0
                                    ? failure(error_kind::not_leader, "none")
                                    : ask(target, request);
            last = answer.value_or(transport::http_response{});
            return answer && last.status != 421 && last.status != 504;
        });
    return last;
}

nlohmann::json control_group::status(std::uint32_t instance)
{
    const auto answer =
        ask(instance,
            {.method = "GET", .path = "/v1/status", .headers = {}, .body = {}});
    return answer ? nlohmann::json::parse(answer->body) : nlohmann::json();
}

std::uint32_t control_group::leader()
{
    for (const auto& [instance, program] : programs_)
    {
        const auto seen = status(instance);
        if (seen.is_object() && seen.value("role", "") == "leader")
        {
            return instance;
        }
    }
    return 0;
}

bool control_group::all_are_voters()
{
    const auto target = leader();
    if (target == 0)
    {
        return false;
    }
    const auto members = status(target)["members"];
    return members.size() == 3 &&
           std::all_of(members.begin(), members.end(),
                       [](const nlohmann::json& member)
                       { return member["voter"].get<bool>(); });
}

} // namespace boragestand::testing
