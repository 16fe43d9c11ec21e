#include "posthatch/routing/outlier_detector.h"

#include "posthatch/routing/traffic_fixture-test.h"

namespace posthatch::routing {
namespace {

class OutlierDetectorTest : public TrafficTest {
 protected:
  OutlierDetector detector_{&runtime_};
  Worker worker_;
};

TEST_F(OutlierDetectorTest, UnreachableWorkerIsEjectedAtOnceForDoublingDuration) {
  EXPECT_TRUE(detector_.IsHealthy(worker_));
  for (const int ejection_ms : {1000, 2000, 4000, 8000, 8000}) {
    const milliseconds ejection(ejection_ms);
    detector_.RecordFailure(&worker_, WorkerFailure::kUnreachable);
    clock_.now += ejection - milliseconds(1);
    EXPECT_FALSE(detector_.IsHealthy(worker_)) << ejection.count();
    clock_.now += milliseconds(1);
    EXPECT_TRUE(detector_.IsHealthy(worker_)) << ejection.count();
  }
  detector_.RecordSuccess(&worker_);
  detector_.RecordFailure(&worker_, WorkerFailure::kUnreachable);
  clock_.now += milliseconds(1000);
  EXPECT_TRUE(detector_.IsHealthy(worker_)) << "a success resets the duration";
}

TEST_F(OutlierDetectorTest, SecondConsecutiveFailureEjects) {
  detector_.RecordFailure(&worker_, WorkerFailure::kRequestFailed);
  EXPECT_TRUE(detector_.IsHealthy(worker_));
  detector_.RecordFailure(&worker_, WorkerFailure::kRequestFailed);
  EXPECT_FALSE(detector_.IsHealthy(worker_));
}

TEST_F(OutlierDetectorTest, RejectionBacksOffBriefly) {
  detector_.RecordRejection(&worker_);
  EXPECT_FALSE(detector_.IsHealthy(worker_));
  clock_.now += milliseconds(150);
  EXPECT_TRUE(detector_.IsHealthy(worker_));
}

}  // namespace
}  // namespace posthatch::routing
