#!/usr/bin/env bash
# Fails if src/ uses a name of the operators' platform. Only platform/ and
# deploy/ may use them; platform/ translates them to the names of src/.
set -euo pipefail
cd "$(dirname "$0")/.."

names='PathPrefix|HealthPath|DatagramAddr|HeartbeatAddr|WarmupLeftMs'
names+='|TargetLatencyMs|InternalPorts|ControlPlane|CountsAsLoss'
names+='|Instances\.Heartbeat|Instances\.Deregister|Config\.Replace'
names+='|Evacuations\.Start|Evacuations\.Stop|WarmupPerS|WarmupOverrun'
if grep -rnwE "$names" src; then
    echo "src/ uses names of the platform, see above"
    exit 1
fi
