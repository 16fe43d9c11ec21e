#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

// Golden files: what an earlier build wrote, kept as test data.
namespace posthatch::compatibility {

inline std::string GoldenPath(const std::string& name) {
  return std::string(POSTHATCH_GOLDEN_FOLDER) + "/" + name;
}

inline std::string ReadGolden(const std::string& name) {
  std::ifstream file(GoldenPath(name), std::ios::binary);
  EXPECT_TRUE(file.good()) << "no golden file " << name;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Compares `contents` with the golden file `name`. With POSTHATCH_WRITE_GOLDEN set it writes the
// file first: only for a format that changes on purpose, never to make a failing test pass.
inline void ExpectGolden(const std::string& name, const std::string& contents) {
  if (std::getenv("POSTHATCH_WRITE_GOLDEN") != nullptr) {
    std::filesystem::create_directories(std::filesystem::path(GoldenPath(name)).parent_path());
    std::ofstream(GoldenPath(name), std::ios::binary) << contents;
  }
  EXPECT_TRUE(ReadGolden(name) == contents) << name << " is now:\n" << contents;
}

}  // namespace posthatch::compatibility
