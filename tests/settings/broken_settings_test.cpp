#include "settings/settings.hpp"
#include "settings_files.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace boragestand::settings
{

namespace
{

/// One replacement in a valid file and the fault that it must cause.
struct broken_file
{
    std::string from;
    std::string to;
    std::uint32_t line;
    std::string cause; ///< part of the message
};

std::string with_replacement(std::string text, const broken_file& broken)
{
    const std::size_t at = text.find(broken.from);
    EXPECT_NE(at, text.npos) << broken.from;
    return text.replace(at, broken.from.size(), broken.to);
}

void expect_fault(const auto& read, const broken_file& broken)
{
    SCOPED_TRACE(broken.from + " -> " + broken.to);
    ASSERT_FALSE(read.has_value());
    const auto& faults = read.error();
    const bool named = std::any_of(
        faults.begin(), faults.end(),
        [&](const document::fault& fault)
        {
            return fault.where.line == broken.line &&
                   fault.message.find(broken.cause) != std::string::npos;
        });
    std::string all;
    for (const document::fault& fault : faults)
    {
        all += to_string(fault) + "\n";
    }
    EXPECT_TRUE(named) << "expected line " << broken.line << ": "
                       << broken.cause << "\nfound:\n"
                       << all;
}

const std::vector<broken_file> broken_entry_files{
    {"{id: 1, name: tx-waco-1, data_centre: tx-waco}\n", "{id: 1\n", 2,
     "not valid YAML"},
    {"instance: {id: 1", "instance: {id: 0", 1,
     "instance.id: expected a whole number from 1 to 4294967295, found \"0\""},
    {"instance: {id: 1", "instance: {id: one", 1, "found \"one\""},
    {"instance: {id: 1", "instance: {id: \"1\"", 1, "expected a whole number"},
    {"instance: {id: 1,", "instance: {", 1,
     "instance.id: required key is missing"},
    {"instance: {id: 1,", "instance: {id: 1, id: 1,", 1, "given twice"},
    {"instance: {id: 1", "instance: {id: 3", 8, "expected this instance, id 3"},
    {"name: tx-waco-1", "name: \"tx waco\"", 1, "expected a name of 1 to 63"},
    {"name: tx-waco-1", "name: tx-waco-9", 8, "differs from instance"},
    {"instance: {id", "instanze: {id", 1,
     "instanze: unknown key; expected one of instance, addresses"},
    {"  peers: 127.1.0.1:7001\n", "", 3, "addresses.peers: required key"},
    {"  fabric: 127.1.0.1:6081", "  fabric: 127.1.0.256:6081", 3,
     "expected an IPv4 address and port"},
    {"  fabric: 127.1.0.1:6081", "  fabric: 127.1.0.1:0", 3,
     "expected an IPv4 address and port"},
    {"  fabric: 127.1.0.1:6081", "  fabric: [127.1.0.1, 6081]", 3,
     "found a list"},
    {"  http: 127.1.0.1:7080", "  http: localhost:7080", 5,
     "found \"localhost:7080\""},
    {"callers_via: 127.9.0.1:6081", "callers_via: 127.1.0.2:6081", 6,
     "is the fabric endpoint of an entry instance"},
    {"callers_via: 127.9.0.1:6081", "callers_via:", 6, "found nothing"},
    {"{id: 2, name: tx-waco-2", "{id: 1, name: tx-waco-2", 10,
     "id 1 is also given in line 8"},
    {"{id: 2, name: tx-waco-2", "{id: 2, name: tx-waco-1", 10,
     "name tx-waco-1 is also given in line 8"},
    {"peers: 127.1.0.2:7001", "peers: 127.1.0.2:6081", 11,
     "UDP endpoint 127.1.0.2:6081 is also given in line 10"},
    {"http: 127.1.0.2:7080", "http: 127.1.0.1:7080", 11,
     "TCP endpoint 127.1.0.1:7080 is also given in line 9"},
    {"  - {id: 101, name: tx-waco-c, http: 127.2.0.1:7200}", "  []", 13,
     "expected at least one control instance"},
    {"http: 127.2.0.1:7200", "http: 127.1.0.2:7080", 13,
     "belongs to entry instance tx-waco-2"},
    {"{id: 101", "{id: 2", 13, "id 2 belongs to entry instance tx-waco-2"},
    {"level: info", "level: loud", 14,
     "expected one of error, warn, info, debug, found \"loud\""},
    {"{seed: 1}", "{flow_capacity: 10}", 15,
     "expected a whole number from 1000 to 100000000"},
    {"{seed: 1}", "{probe_timeout_ms: 300}", 15,
     "expected less than probe_interval_ms, 300"},
    {"{seed: 1}", "{sead: 1}", 15, "limits.sead: unknown key"},
    {"{seed: 1}", "[1]", 15, "limits: expected a mapping, found a list"},
    {"limits: {seed: 1}", "limits: *none", 15, "not valid YAML"},
    {"limits: {seed: 1}", "? [a, b]\n: 1", 15, "expected a key"},
    {entry_text, "", 1, "expected one YAML document, found 0"},
    {entry_text, "a: 1\n---\nb: 2\n", 1, "expected one YAML document, found 2"},
    {entry_text, "- 1", 1, "document: expected a mapping, found a list"},
    {entry_text, std::string(5000, '['), 1, "not valid YAML"},
    {entry_text, std::string(4 * 1024 * 1024 + 1, ' '), 1,
     "at most 4194304 are accepted"}};

const std::vector<broken_file> broken_control_files{
    {"data_directory: data", "data_directory: \"\"", 3,
     "expected a string that is not empty"},
    {"data_directory: data\n", "", 1, "data_directory: required key"},
    {"{id: 102", "{id: 101", 6, "id 101 is also given in line 5"},
    {"http: 127.2.0.2:7200", "http: 127.2.0.1:7200", 6,
     "endpoint 127.2.0.1:7200 is also given in line 5"},
    {"addresses: {http: 127.2.0.1:7200}", "addresses: {http: 127.2.0.9:7200}",
     5, "differs from instance"},
    {"  - {id: 1, name: tx-waco-1}", "  - {id: 102, name: tx-waco-1}", 8,
     "id 102 belongs to a control instance"},
    {"  - {id: 1, name: tx-waco-1}", "  - tx-waco-1", 8,
     "entries[0]: expected a mapping, found \"tx-waco-1\""},
    {"entries:\n  - {id: 1, name: tx-waco-1}\n", "entries: 5\n", 7,
     "entries: expected a list, found \"5\""},
    {"path: /v1/wake", "path: v1/wake", 9, "expected a path"},
    {"address: 127.9.0.2:7300", "address: 127.9.0.2", 9,
     "expected an IPv4 address and port"},
    {"director: {address: 127.9.0.2:7300, path: /v1/wake}\n", "", 1,
     "director: required key is missing"},
};

} // namespace

// Guards against an invalid file that is accepted, crashes the program, or is
// reported without the line and cause of the fault.
TEST(broken_settings, name_line_and_cause)
{
    for (const broken_file& broken : broken_entry_files)
    {
        expect_fault(read_entry_settings(with_replacement(entry_text, broken)),
                     broken);
    }
    for (const broken_file& broken : broken_control_files)
    {
        expect_fault(
            read_control_settings(with_replacement(control_text, broken)),
            broken);
    }
}

// Guards against reporting only the first fault of a file.
TEST(broken_settings, report_all_faults_in_order)
{
    std::string text = entry_text;
    text.replace(text.find("id: 1"), 5, "id: x");
    text.replace(text.find("level: info"), 11, "level: loud");
    text.replace(text.find("callers_via"), 11, "calers_via");
    const auto read = read_entry_settings(text);
    ASSERT_FALSE(read.has_value());
    std::vector<std::uint32_t> lines;
    for (const document::fault& fault : read.error())
    {
        lines.push_back(fault.where.line);
    }
    EXPECT_EQ(lines, (std::vector<std::uint32_t>{1, 1, 6, 14}));
}

} // namespace boragestand::settings
