#pragma once

/// Public header of the settings library: checked YAML settings for the
/// programs and the set-up of their logs.
