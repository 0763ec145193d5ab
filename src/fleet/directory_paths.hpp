#pragma once

/// Names of the requests that entry and control instances send to a control
/// instance.
namespace boragestand::fleet
{

constexpr auto directory_path = "/v1/directory";
constexpr auto plan_path = "/v1/plan";

/// Header of directory requests whose sender requests the plan itself. Without
/// it, as from instances of earlier versions, replies contain the whole plan.
constexpr auto plan_delivery_header = "boragestand-plan";
constexpr auto separate_plan = "separate";

} // namespace boragestand::fleet
