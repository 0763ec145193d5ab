#include "invocation.hpp"

namespace boragestand::ctl
{

namespace
{

using nlohmann::json;

std::string text_in(const json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

/// Lines FILE:LINE:COLUMN: MESSAGE for a list of faults in JSON.
std::string fault_lines(const json& faults, const std::string& source)
{
    std::string text;
    for (const json& each : faults)
    {
        if (!each.is_object())
        {
            continue;
        }
        const document::fault fault{
            {static_cast<std::uint32_t>(number_in(each, "line")),
             static_cast<std::uint32_t>(number_in(each, "column"))},
            text_in(each, "message")};
        text += source + ":" + to_string(fault) + "\n";
    }
    return text;
}

std::string winner_line(const json& winner)
{
    return "winner: note " + std::to_string(number_in(winner, "number")) +
           ", digest " + text_in(winner, "digest") + ", revision " +
           std::to_string(number_in(winner, "revision")) + "\n";
}

} // namespace

json body_of(const transport::http_response& response)
{
    json body = json::parse(response.body, nullptr, false);
    return body.is_object() ? body : json::object();
}

std::uint64_t number_in(const json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

bool is_success(const transport::http_response& response)
{
    return response.status >= 200 && response.status < 300;
}

command_report report_of(const error& fault)
{
    const error_info& answer = get_error_info(fault.kind);
    return {answer.exit_status,
            std::string(answer.name) + ": " + fault.message + "\n",
            {{"error", answer.name}, {"message", fault.message}}};
}

command_report report_of(const transport::http_response& response,
                         const std::string& source)
{
    command_report report = report_of(state::parse_error(response));
    const json body = body_of(response);
    if (body.contains("faults") && body["faults"].is_array())
    {
        report.text += fault_lines(body["faults"], source);
        report.json["faults"] = body["faults"];
    }
    if (body.contains("winner") && body["winner"].is_object())
    {
        report.text += winner_line(body["winner"]);
        report.json["winner"] = body["winner"];
    }
    return report;
}

command_report
report_of_command(const result<transport::http_response>& response,
                  const std::string& source,
                  const state::request_identity& identity)
{
    const error fault =
        response ? state::parse_error(*response) : response.error();
    command_report report =
        response ? report_of(*response, source) : report_of(fault);
    if (!get_error_info(fault.kind).retryable)
    {
        return report;
    }
    report.text += "to resend it without running it twice: --client-id " +
                   identity.client + " --client-sequence " +
                   std::to_string(identity.sequence) + "\n";
    report.json["client_id"] = identity.client;
    report.json["client_sequence"] = identity.sequence;
    return report;
}

command_report report_of(const std::vector<document::fault>& faults,
                         const std::string& source)
{
    return report_of(state::to_http(state::note_invalid{faults}), source);
}

} // namespace boragestand::ctl
