#include "settings/settings.hpp"
#include "state/state.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace boragestand::settings
{

namespace
{

std::string example(const std::string& folder, const std::string& name)
{
    const auto text = read_text_file(std::string(BORAGESTAND_SOURCE_DIR) +
                                         "/examples/" + folder + "/" + name,
                                     1 << 20);
    EXPECT_TRUE(text.has_value()) << folder << "/" << name;
    return text.value_or("");
}

template <typename Settings>
Settings expect_valid(const document::checked<Settings>& read)
{
    if (!read)
    {
        ADD_FAILURE() << to_string(read.error().front());
        return {};
    }
    return *read;
}

} // namespace

// Guards against example settings that are invalid, that list different
// instances, or that do not spread them over the data centres.
TEST(examples, settings_agree_with_each_other)
{
    for (const std::string folder : {"association", "clock-desk"})
    {
        SCOPED_TRACE(folder);
        const auto control = expect_valid(
            read_control_settings(example(folder, "control-101.yaml")));
        std::set<std::string> control_centres;
        for (const control_member& member : control.members)
        {
            const auto read = expect_valid(read_control_settings(example(
                folder, "control-" + std::to_string(member.id) + ".yaml")));
            EXPECT_EQ(read.instance.id, member.id);
            EXPECT_EQ(read.members, control.members);
            EXPECT_EQ(read.entries, control.entries);
            control_centres.insert(read.instance.data_centre);
        }
        std::set<std::string> entry_centres;
        for (const entry_identity& entry : control.entries)
        {
            const auto read = expect_valid(read_entry_settings(example(
                folder, "entry-" + std::to_string(entry.id) + ".yaml")));
            EXPECT_EQ(read.instance.name, entry.name);
            EXPECT_EQ(read.members.size(), control.entries.size());
            EXPECT_EQ(read.control, control.members);
            entry_centres.insert(read.instance.data_centre);
        }
        EXPECT_EQ(control.entries.size(), 6u);
        EXPECT_EQ(control_centres.size(), 3u);
        EXPECT_EQ(entry_centres.size(), 4u);
    }
}

// Guards against first release notes that the control group rejects.
TEST(examples, first_notes_define_the_services)
{
    const auto services_of = [](const std::string& folder)
    {
        const auto checked =
            state::check_release_note(example(folder, "note-1.yaml"), {});
        std::set<std::string> names;
        EXPECT_TRUE(checked.has_value());
        for (const state::service& each :
             checked ? checked->next.services : std::vector<state::service>{})
        {
            names.insert(each.name);
        }
        return names;
    };
    EXPECT_EQ(services_of("association"),
              (std::set<std::string>{"haul-maps", "member-desk"}));
    EXPECT_EQ(services_of("clock-desk"),
              (std::set<std::string>{"loan-desk", "manuals"}));
}

} // namespace boragestand::settings
