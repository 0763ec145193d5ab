#pragma once

#include <string>

namespace boragestand::settings
{

/// Valid settings that tests of invalid ones change by one replacement.
inline const std::string entry_text =
    R"(instance: {id: 1, name: tx-waco-1, data_centre: tx-waco}
addresses:
  fabric: 127.1.0.1:6081
  peers: 127.1.0.1:7001
  http: 127.1.0.1:7080
callers_via: 127.9.0.1:6081
members:
  - {id: 1, name: tx-waco-1, data_centre: tx-waco, fabric: 127.1.0.1:6081,
     peers: 127.1.0.1:7001, http: 127.1.0.1:7080}
  - {id: 2, name: tx-waco-2, data_centre: tx-waco, fabric: 127.1.0.2:6081,
     peers: 127.1.0.2:7001, http: 127.1.0.2:7080}
control:
  - {id: 101, name: tx-waco-c, http: 127.2.0.1:7200}
log: {level: info, file: ""}
limits: {seed: 1}
)";

inline const std::string control_text =
    R"(instance: {id: 101, name: tx-waco-c, data_centre: tx-waco}
addresses: {http: 127.2.0.1:7200}
data_directory: data
members:
  - {id: 101, name: tx-waco-c, http: 127.2.0.1:7200}
  - {id: 102, name: tx-temple-c, http: 127.2.0.2:7200}
entries:
  - {id: 1, name: tx-waco-1}
director: {address: 127.9.0.2:7300, path: /v1/wake}
log: {level: info, file: ""}
)";

} // namespace boragestand::settings
