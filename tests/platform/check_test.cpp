#include "message_codec.hpp"
#include "plan_check_program.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace boragestand::platform
{

namespace
{

constexpr const char* good_document = R"({"Version":7,
 "Services":[{"Name":"desk","HealthPath":"/h","MaxConnections":2000},
             {"Name":"maps","WarmupS":20,"WarmupPerS":0.5}],
 "Routes":[
  {"Name":"r","Hostname":"198.18.0.1","PathPrefix":"/8080/",
   "Type":"non_idempotent","TimeoutMs":1200,"TargetLatencyMs":200,
   "Service":"desk"},
  {"Name":"s","Hostname":"198.18.0.1","PathPrefix":"/8443/",
   "Type":"upload","TimeoutMs":1000,
   "Backends":[{"Service":"desk","Weight":90},
               {"Service":"maps","Weight":10}]}],
 "Limits":{"IdleTimeoutMs":15000}})";

std::string with_patch(const char* patch)
{
    auto document = nlohmann::json::parse(good_document);
    return document.patch(nlohmann::json::parse(patch)).dump();
}

std::string lines_of(const std::vector<state::plan_finding>& findings)
{
    std::string lines;
    for (const auto& each : findings)
    {
        lines += std::string(to_text(each.severity)) + ": " + to_string(each);
        lines += '\n';
    }
    return lines;
}

struct document_case
{
    const char* name;
    const char* patch;    ///< JSON patch of the good document
    const char* expected; ///< start of the only line; empty: no finding
};

class document_check : public testing::TestWithParam<document_case>
{
};

struct run_result
{
    int status{0};
    std::string out;
    std::string err;
};

run_result run(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "boragestand-platform-check");
    std::ostringstream out;
    std::ostringstream err;
    const int status = run_plan_check(static_cast<int>(arguments.size()),
                                      arguments.data(), out, err);
    return {status, out.str(), err.str()};
}

/// A file that is removed at the end of a test.
class document_file
{
public:
    document_file(const std::string& name, const std::string& text)
        : path_(testing::TempDir() + name + std::to_string(getpid()))
    {
        std::ofstream(path_) << text;
    }
    ~document_file() { std::filesystem::remove(path_); }
    document_file(const document_file&) = delete;
    document_file& operator=(const document_file&) = delete;

    const char* path() const { return path_.c_str(); }

private:
    std::string path_;
};

} // namespace

// Guards against faults that are not found, that lead to further findings which
// are not true, and against findings in good configurations.
TEST_P(document_check, finds_exactly_the_fault)
{
    const auto lines =
        lines_of(check_plan_document(with_patch(GetParam().patch), {}));
    const std::string expected = GetParam().expected;
    EXPECT_EQ(lines.substr(0, expected.size()), expected);
    EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'),
              expected.empty() ? 0 : 1)
        << lines;
}

INSTANTIATE_TEST_SUITE_P(
    good, document_check,
    testing::Values(
        document_case{"as_is", "[]", ""},
        document_case{"no_hints",
                      R"([{"op":"remove","path":"/Limits"},
                          {"op":"remove","path":"/Routes/0/TargetLatencyMs"}])",
                      ""},
        document_case{"nulls",
                      R"([{"op":"replace","path":"/Limits","value":null},
                          {"op":"add","path":"/Routes/0/Backends",
                           "value":null}])",
                      ""},
        document_case{"fractional_timeout",
                      R"([{"op":"replace","path":"/Routes/0/TimeoutMs",
                           "value":999.5}])",
                      ""},
        document_case{"attempts",
                      R"([{"op":"add","path":"/Routes/0/Attempts","value":2}])",
                      ""}),
    [](const auto& each) { return each.param.name; });

INSTANTIATE_TEST_SUITE_P(
    faulty, document_check,
    testing::Values(
        document_case{"no_version", R"([{"op":"remove","path":"/Version"}])",
                      "error: document field Version is missing; expected"},
        document_case{"version_0",
                      R"([{"op":"replace","path":"/Version","value":0}])",
                      "error: version is 0; expected above 0"},
        document_case{"no_routes", R"([{"op":"remove","path":"/Routes"}])",
                      "error: document field Routes is missing; expected"},
        document_case{"services_no_list",
                      R"([{"op":"replace","path":"/Services","value":{}}])",
                      "error: document field Services is not a list"},
        document_case{"service_without_name",
                      R"([{"op":"remove","path":"/Services/1/Name"}])",
                      "error: Services[1] field Name is missing"},
        document_case{"host_name",
                      R"([{"op":"replace","path":"/Routes/0/Hostname",
                           "value":"desk.example"}])",
                      "error: Routes[0] \"r\" field Hostname: "},
        document_case{"no_port",
                      R"([{"op":"replace","path":"/Routes/1/PathPrefix",
                           "value":"/0/"}])",
                      "error: Routes[1] \"s\" field PathPrefix \"/0/\" holds "
                      "no port; expected"},
        document_case{"text_timeout",
                      R"([{"op":"replace","path":"/Routes/0/TimeoutMs",
                           "value":"1s"}])",
                      "error: Routes[0] \"r\" field TimeoutMs is not a whole "
                      "number in range; expected 0 to 4294967295"},
        document_case{"negative_timeout",
                      R"([{"op":"replace","path":"/Routes/0/TimeoutMs",
                           "value":-1.5}])",
                      "error: Routes[0] \"r\" field TimeoutMs is out of range"},
        document_case{"timeout_0",
                      R"([{"op":"replace","path":"/Routes/0/TimeoutMs",
                           "value":0}])",
                      "error: route \"r\" has a timeout of 0 ms"},
        document_case{
            "no_weight",
            R"([{"op":"remove","path":"/Routes/1/Backends/0/Weight"}])",
            "error: Routes[1] \"s\" Backends[0] field Weight is "
            "missing"},
        document_case{"no_backend",
                      R"([{"op":"replace","path":"/Routes/1/Backends",
                           "value":[]},
                          {"op":"replace","path":"/Routes/0/Service",
                           "value":"maps"},
                          {"op":"remove","path":"/Services/0"}])",
                      "error: route \"s\" names no service"},
        document_case{"unknown_service",
                      R"([{"op":"add","path":"/Routes/1/Backends/2",
                           "value":{"Service":"map","Weight":1}}])",
                      "error: route \"s\" names the unknown service \"map\""},
        document_case{"repeated_address",
                      R"([{"op":"replace","path":"/Routes/1/PathPrefix",
                           "value":"/8080/"}])",
                      "error: route \"s\" repeats the address "
                      "198.18.0.1:8080 of route \"r\""},
        document_case{"unknown_kind",
                      R"([{"op":"replace","path":"/Routes/0/Type",
                           "value":"stream"}])",
                      "warning: Routes[0] \"r\" has the unknown kind "
                      "\"stream\""},
        document_case{"unknown_field",
                      R"([{"op":"add","path":"/Routes/0/Prio","value":1}])",
                      "warning: Routes[0] \"r\" has the unknown field Prio"},
        document_case{"text_priority",
                      R"([{"op":"add","path":"/Routes/0/Priority",
                           "value":"high"}])",
                      "warning: Routes[0] \"r\" has field Priority, which is "
                      "ignored; expected a number"},
        document_case{"service_and_backends",
                      R"([{"op":"add","path":"/Routes/1/Service",
                           "value":"desk"}])",
                      "warning: Routes[1] \"s\" has field Service, which is "
                      "ignored"},
        document_case{"weight_0",
                      R"([{"op":"replace","path":"/Routes/1/Backends/1/Weight",
                           "value":0}])",
                      "warning: route \"s\" gives service \"maps\" weight 0"},
        document_case{"idle_under_timeout",
                      R"([{"op":"replace","path":"/Limits/IdleTimeoutMs",
                           "value":1100}])",
                      "warning: route \"r\" has a timeout of 1200 ms over the "
                      "idle timeout of the plan; expected at most 1100 ms"}),
    [](const auto& each) { return each.param.name; });

// Guards against a program that names one fault for each attempt, and against a
// control instance that then refuses with another fault than the first.
TEST(plan_document, lists_all_faults_at_once)
{
    const auto text = with_patch(
        R"([{"op":"remove","path":"/Version"},
            {"op":"remove","path":"/Routes/0/Name"},
            {"op":"remove","path":"/Routes/0/TimeoutMs"},
            {"op":"replace","path":"/Routes/1/TimeoutMs","value":0}])");
    const auto findings = check_plan_document(text, {});
    ASSERT_EQ(findings.size(), 4U) << lines_of(findings);
    const auto refused = decode_plan_document(text);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().message,
              findings[0].place + ": " + findings[0].text);
}

// Guards against a fault of which only "not an object" is told, and against a
// field that is given twice and silently takes the last value.
TEST(plan_document, names_positions_and_duplicates)
{
    const auto cut = check_plan_document("{\"Version\":7,\n  \"Routes\":]", {});
    EXPECT_EQ(lines_of(cut).substr(0, 60),
              "error: document is not valid JSON at line 2, column 12; expe");
    std::string twice = good_document;
    twice.insert(twice.find("\"Weight\":10"), "\"Weight\":5,");
    EXPECT_EQ(lines_of(check_plan_document(twice, {})),
              "warning: Routes[1].Backends[1] has field Weight more than once, "
              "the last one counts; expected once\n");
}

// Guards against exit statuses that let a script send a faulty configuration,
// and against output that a script cannot read.
TEST(plan_check_program, tells_errors_and_unusable_files_by_its_status)
{
    const document_file good("good", good_document);
    const document_file faulty(
        "faulty", with_patch(R"([{"op":"remove","path":"/Version"}])"));
    EXPECT_EQ(run({good.path()}).status, 0);
    EXPECT_EQ(run({faulty.path()}).status, 1);
    EXPECT_EQ(run({}).status, 2);
    EXPECT_EQ(run({"/nonexistent"}).status, 2);
    EXPECT_EQ(run({good.path(), "--format", "xml"}).status, 2);
    EXPECT_EQ(run({good.path(), "--link-mbps", "0"}).status, 2);
    EXPECT_EQ(run({good.path(), "--against", faulty.path()}).status, 2);
    const auto slow = run({good.path(), "--link-mbps", "0.5", "--against",
                           good.path(), "--format", "json"});
    EXPECT_EQ(slow.status, 0) << slow.err;
    const auto output = nlohmann::json::parse(slow.out);
    EXPECT_EQ(output["warnings"], 1);
    EXPECT_EQ(output["notes"], 1);
    EXPECT_EQ(output["findings"][0]["place"], "route \"s\"");
}

// Guards against names of a document that control the operator's terminal.
TEST(plan_check_program, prints_no_control_characters)
{
    const document_file odd(
        "odd", with_patch(R"([{"op":"replace","path":"/Routes/0/Name",
                               "value":"\u001b[2J"},
                              {"op":"replace","path":"/Routes/0/TimeoutMs",
                               "value":0}])"));
    EXPECT_EQ(run({odd.path()}).out.find('\x1b'), std::string::npos);
}

} // namespace boragestand::platform
