// Compiles the logging library, which ships as a source file, into our own
// library; a separate unit so that its warnings do not mix with ours.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
