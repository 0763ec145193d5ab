#include "settings/settings.hpp"
#include "settings_files.hpp"

#include <gtest/gtest.h>

#include <regex>
#include <string>

namespace boragestand::settings
{

namespace
{

std::string operations_page()
{
    return read_text_file(std::string(BORAGESTAND_SOURCE_DIR) +
                              "/docs/OPERATIONS.md",
                          1 << 20)
        .value_or("");
}

} // namespace

// Guards against settings keys and exit statuses that the operations page does
// not describe, and defaults on it that differ from those of the code.
TEST(operations_page, covers_all_settings_and_exit_statuses)
{
    const std::string page = operations_page();
    const std::string entry = to_yaml(*read_entry_settings(entry_text));
    const std::string printed =
        entry + to_yaml(*read_control_settings(control_text));
    const std::regex key_pattern("([a-z_]+):");
    for (std::sregex_iterator key(printed.begin(), printed.end(), key_pattern);
         key != std::sregex_iterator(); ++key)
    {
        const std::regex mention("[`.]" + (*key)[1].str() + "[`.]");
        EXPECT_TRUE(std::regex_search(page, mention)) << (*key)[1];
    }
    const std::string limits = entry.substr(entry.find("limits:"));
    const std::regex limit_pattern("\n  ([a-z_]+): ([0-9]+)");
    for (std::sregex_iterator limit(limits.begin(), limits.end(),
                                    limit_pattern);
         limit != std::sregex_iterator(); ++limit)
    {
        const std::regex row("`limits." + (*limit)[1].str() +
                             "` \\|[^\n]*default " + (*limit)[2].str() +
                             "[ ;]");
        EXPECT_TRUE(std::regex_search(page, row)) << (*limit)[1];
    }
    for (int value = 0; value <= static_cast<int>(error_kind::internal);
         ++value)
    {
        const error_info& answer =
            error_info_for(static_cast<error_kind>(value));
        const std::string row = "| " + std::to_string(answer.exit_status) +
                                " | `" + std::string(answer.name) + "` |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

} // namespace boragestand::settings
