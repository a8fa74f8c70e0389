// Compiles the logging library, which comes as one source file.
#include <easylogging++.cc>
