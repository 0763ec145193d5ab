#include "settings/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace boragestand::settings
{

namespace
{

const std::string entry = "instance: {name: e1, data_centre: a}\n"
                          "addresses: {internal: \"10.0.0.1:7000\", "
                          "packets: \"10.0.0.1:8000\", "
                          "readiness: \"10.0.0.1:8001\", announcements: \"\"}\n"
                          "seeds: [\"10.0.0.2:8100\"]\n";

struct bad_settings
{
    const char* name;
    const char* from;
    const char* to;
    const char* fault;
};

class fleet_settings_faults : public testing::TestWithParam<bad_settings>
{
};

} // namespace

// Guards against settings that change when they are printed and read again.
TEST(fleet_settings, are_read_and_written)
{
    const auto settings = read_fleet_settings(entry);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->packets, "10.0.0.1:8000");
    EXPECT_FALSE(settings->first_start);
    const auto again = read_fleet_settings(to_yaml(*settings));
    ASSERT_TRUE(again);
    EXPECT_EQ(*again, *settings);
}

// Guards against a link rate that is cut to whole numbers, and against a start
// that fails where the platform tells none.
TEST(fleet_settings, take_the_rate_of_the_link)
{
    EXPECT_EQ(read_fleet_settings(entry)->link_mbps, 0.0);
    EXPECT_EQ(read_fleet_settings(entry + "link_mbps: \"\"\n")->link_mbps, 0.0);
    const auto settings = read_fleet_settings(entry + "link_mbps: \"2.7\"\n");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->link_mbps, 2.7);
    EXPECT_EQ(read_fleet_settings(to_yaml(*settings))->link_mbps, 2.7);
}

// Guards against a tolerance that is lost on the way to the control group, and
// against one that is not known and taken for 0.
TEST(fleet_settings, take_the_losses_to_tolerate)
{
    EXPECT_EQ(read_fleet_settings(entry)->tolerated_instances, std::nullopt);
    EXPECT_EQ(read_fleet_settings(entry + "tolerated_instances: \"\"\n")
                  ->tolerated_instances,
              std::nullopt);
    const auto settings =
        read_fleet_settings(entry + "tolerated_instances: \"2\"\n"
                                    "tolerated_data_centres: \"0\"\n");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->tolerated_instances, 2U);
    EXPECT_EQ(settings->tolerated_data_centres, 0U);
    EXPECT_EQ(read_fleet_settings(to_yaml(*settings)), settings);
    for (const auto* text : {"-1", "two", "1001", "1.5"})
    {
        EXPECT_FALSE(read_fleet_settings(entry + "tolerated_instances: \"" +
                                         text + "\"\n"))
            << text;
    }
}

// Guards against a changed file that is not reloaded, and against an invalid
// one that replaces valid settings.
TEST(settings_watch, takes_changes_and_keeps_what_works)
{
    const auto file = ::testing::TempDir() + "settings_watch_" +
                      std::to_string(::getpid()) + ".yaml";
    const auto write = [&file](const std::string& text)
    {
        std::ofstream(file) << text;
    };
    write(entry);
    settings_watch watch(file, *read_fleet_settings(entry));
    const auto unchanged = watch.reload(false);
    ASSERT_TRUE(unchanged);
    EXPECT_FALSE(*unchanged);

    write(entry + "log: {level: debug}\n");
    const auto changed = watch.reload(false);
    ASSERT_TRUE(changed && *changed);
    EXPECT_EQ((*changed)->log.level, log_level::debug);

    write("instance: 3\n");
    const auto broken = watch.reload(true);
    ASSERT_FALSE(broken);
    EXPECT_EQ(broken.error().kind, error_kind::invalid_settings);
    EXPECT_EQ(watch.current().log.level, log_level::debug);

    std::filesystem::remove(file);
    const auto missing = watch.reload(true);
    ASSERT_FALSE(missing);
    EXPECT_EQ(missing.error().kind, error_kind::not_found);
}

// Guards against a reload that claims to apply what needs a restart.
TEST(settings_watch, names_what_takes_effect_at_the_next_start)
{
    const auto former = *read_fleet_settings(entry);
    auto next = former;
    next.seeds = {"10.0.0.9:8100"};
    next.log.level = log_level::debug;
    EXPECT_EQ(settings_needing_restart(former, next), "");
    next.readiness = "10.0.0.1:9001";
    next.heartbeat_ms = 700;
    next.link_mbps = 10;
    EXPECT_EQ(settings_needing_restart(former, next),
              "addresses,heartbeat_ms,link_mbps");
}

// Guards against invalid settings that are accepted.
TEST_P(fleet_settings_faults, are_reported)
{
    auto text = entry;
    const auto at = text.find(GetParam().from);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, std::string_view(GetParam().from).size(), GetParam().to);
    const auto settings = read_fleet_settings(text);
    ASSERT_FALSE(settings);
    std::string messages;
    for (const auto& fault : settings.error())
    {
        messages += to_string(fault) + "\n";
    }
    EXPECT_NE(messages.find(GetParam().fault), std::string::npos) << messages;
}

INSTANTIATE_TEST_SUITE_P(
    faults, fleet_settings_faults,
    testing::Values(
        bad_settings{"seeds", "seeds: [\"10.0.0.2:8100\"]", "seeds: []",
                     "at least one seed"},
        bad_settings{"seed", "10.0.0.2:8100", "10.0.0.2", "seeds"},
        bad_settings{"role", "packets: \"10.0.0.1:8000\", ", "",
                     "give either packets"},
        bad_settings{"readiness", "readiness: \"10.0.0.1:8001\", ", "",
                     "needs readiness"},
        bad_settings{"unknown", "seeds:", "sedes: 1\nseeds:", "sedes"},
        bad_settings{"link_rate",
                     "seeds:", "link_mbps: fast\nseeds:", "link_mbps"},
        bad_settings{"negative_link_rate",
                     "seeds:", "link_mbps: -2\nseeds:", "link_mbps"},
        bad_settings{"syntax", "instance: {", "instance: {{", ""}),
    [](const auto& each) { return each.param.name; });

} // namespace boragestand::settings
