#include "control_service.hpp"

#include "test_log.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

namespace boragestand::platform
{

namespace
{

using namespace std::chrono_literals;

/// The API of a control instance that is the whole group, or waits for others.
class control_service_test : public testing::Test
{
protected:
    ~control_service_test() override
    {
        service_.reset();
        node_.reset();
        std::filesystem::remove_all(directory_);
    }

    void start(bool may_found)
    {
        std::filesystem::create_directory(directory_);
        fleet::control_node_settings settings;
        settings.address = settings.listen = {network_ + 1, 7400};
        settings.data_directory = directory_;
        settings.seeds = {settings.address};
        settings.may_found = may_found;
        auto node = fleet::control_node::open(
            loop_, timers_, settings, log_,
            [](const std::optional<error>& cause) { EXPECT_FALSE(cause); });
        ASSERT_TRUE(node) << node.error().message;
        node_ = std::move(*node);
        service_.emplace(*node_, loop_, timers_, log_, 8080);
    }

    void replace_plan(const std::string& document)
    {
        service_->handle({"POST", "/v1/Config.Replace", {}, document}, {},
                         [this](const transport::http_response& response)
                         { status_ = response.status; });
    }

    bool run_until(const std::function<bool()>& condition)
    {
        bool met = false;
        const auto poll = timers_.every(2ms,
                                        [&](time_point)
                                        {
                                            met = condition();
                                            if (met)
                                            {
                                                loop_.quit();
                                            }
                                        });
        const auto limit =
            timers_.after(10s, [this](time_point) { loop_.quit(); });
        loop_.run();
        return met;
    }

    // Each process uses a network of its own, since tests run at the same time.
    std::uint32_t network_{
        (127U << 24) | ((static_cast<std::uint32_t>(::getpid()) % 32768) << 8)};
    std::string directory_{::testing::TempDir() + "control_service_" +
                           std::to_string(::getpid())};
    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    fleet::fleet_log log_{quiet_log()};
    std::unique_ptr<fleet::control_node> node_;
    std::optional<control_service> service_;
    std::optional<int> status_;
};

} // namespace

// Guards against a leader that loses its group because it decodes a large plan
// for longer than its followers wait for a heartbeat.
TEST_F(control_service_test, decodes_plans_beside_the_main_loop)
{
    start(true);
    ASSERT_TRUE(run_until([this] { return node_->is_leader(); }));
    replace_plan("no plan");
    EXPECT_FALSE(status_);
    ASSERT_TRUE(run_until([this] { return status_.has_value(); }));
    EXPECT_EQ(*status_, 400);
}

// Guards against a follower that decodes a plan only to send its operator to
// the leader.
TEST_F(control_service_test, reads_no_plan_without_leading)
{
    start(false);
    replace_plan("no plan");
    ASSERT_TRUE(status_);
    EXPECT_EQ(*status_, 503);
}

} // namespace boragestand::platform
