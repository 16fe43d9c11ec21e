// The one place where the separately compiled parts of Asio and Beast are built; see
// posthatch_boost in cmake/Dependencies.cmake.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
