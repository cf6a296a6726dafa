#include "admin/telemetry_json.h"

#include <json/json.h>

namespace beechhill::admin {
namespace {

using proxy::BufferBudget;
using proxy::BufferKind;
using proxy::TraceIdTable;

// Numbers of bytes.
Json::Value buffers_json(const BufferBudget& buffers) {
  Json::Value root(Json::objectValue);
  root["limit"] = Json::UInt64(buffers.limit());
  root["used"] = Json::UInt64(buffers.used());
  root["peak"] = Json::UInt64(buffers.peak());
  root["client_input"] = Json::UInt64(buffers.used(BufferKind::kClientInput));
  root["request"] = Json::UInt64(buffers.used(BufferKind::kRequest));
  root["upload"] = Json::UInt64(buffers.used(BufferKind::kUpload));
  root["backend_output"] = Json::UInt64(buffers.used(BufferKind::kBackendOutput));
  root["backend_input"] = Json::UInt64(buffers.used(BufferKind::kBackendInput));
  root["response"] = Json::UInt64(buffers.used(BufferKind::kResponse));
  root["download"] = Json::UInt64(buffers.used(BufferKind::kDownload));
  return root;
}

// Numbers of requests.
Json::Value trace_ids_json(const TraceIdTable::Counts& counts) {
  Json::Value root(Json::objectValue);
  root["open"] = Json::UInt64(counts.open);
  root["conflicts"] = Json::UInt64(counts.conflicts);
  root["evicted"] = Json::UInt64(counts.evicted);
  return root;
}

}  // namespace

std::string telemetry_json(const proxy::Telemetry& telemetry, const proxy::BufferBudget& buffers,
                           const proxy::TraceIdTable::Counts& trace_ids,
                           const std::vector<std::string>& class_names,
                           const runtime::PendingReply& endpoints) {
  Json::Value completed(Json::objectValue);
  Json::Value rejected(Json::objectValue);
  Json::Value failed(Json::objectValue);
  for (ClassId id = 0; id < class_names.size(); ++id) {
    const proxy::Telemetry::Counts& counts = telemetry.counts(id);
    completed[class_names[id]] = Json::UInt64(counts.completed);
    rejected[class_names[id]] = Json::UInt64(counts.rejected);
    failed[class_names[id]] = Json::UInt64(counts.failed);
  }
  Json::Value root(Json::objectValue);
  root["completed"] = completed;
  root["rejected"] = rejected;
  root["failed"] = failed;
  root["buffers"] = buffers_json(buffers);
  root["trace_ids"] = trace_ids_json(trace_ids);
  root["upstream_requests"] = Json::UInt64(telemetry.upstream_requests());
  root["pending"] = Json::UInt64(telemetry.pending_requests());
  root["members"] = Json::UInt64(endpoints.endpoint_count);
  root["members_unavailable"] = Json::UInt64(endpoints.avoided_endpoint_count);
  root["stage"] = endpoints.recovery_stage;
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root) + "\n";
}

}  // namespace beechhill::admin
