#include "settings/schema.h"

namespace lagoonhitch {

const char *settingsSchema() {
  return R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["site", "zones", "store", "services", "host"],
  "definitions": {
    "address": {
      "type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"
    },
    "name": {"type": "string", "pattern": "^[a-z][a-z0-9-]{0,62}$"},
    "rule": {
      "type": "object",
      "additionalProperties": false,
      "required": ["method", "path", "execution"],
      "properties": {
        "method": {"enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]},
        "path": {"type": "string", "pattern": "^/"},
        "execution": {"enum": ["once", "repeatable"]},
        "priority": {"enum": ["low", "normal", "high"]},
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 60000}
      }
    },
    "service": {
      "type": "object",
      "additionalProperties": false,
      "required": ["prefix", "placement"],
      "properties": {
        "prefix": {"type": "string", "pattern": "^/[a-z0-9-]+$"},
        "placement": {"enum": ["divided", "shared"]},
        "grants": {"enum": ["calls", "heartbeat_replies"]},
        "shards": {"type": "integer", "minimum": 1, "maximum": 65536},
        "key": {
          "type": "object",
          "additionalProperties": false,
          "required": ["from"],
          "properties": {
            "from": {"enum": ["path", "header", "query"]},
            "name": {"type": "string", "minLength": 1},
            "segment": {"type": "integer", "minimum": 0, "maximum": 15}
          }
        },
        "internal": {"type": "boolean"},
        "rules": {"type": "array", "items": {"$ref": "#/definitions/rule"}}
      }
    },
    "host": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "zone", "service", "upstream", "callers", "announce",
                   "peers", "admin"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "zone": {"$ref": "#/definitions/name"},
        "service": {"$ref": "#/definitions/name"},
        "upstream": {"$ref": "#/definitions/address"},
        "announce": {"$ref": "#/definitions/address"},
        "ready": {"$ref": "#/definitions/address"},
        "callers": {"$ref": "#/definitions/address"},
        "internal": {"$ref": "#/definitions/address"},
        "peers": {"$ref": "#/definitions/address"},
        "peers_public": {"$ref": "#/definitions/address"},
        "admin": {"$ref": "#/definitions/address"}
      }
    }
  },
  "properties": {
    "site": {"$ref": "#/definitions/name"},
    "zones": {
      "type": "array",
      "minItems": 1,
      "items": {"$ref": "#/definitions/name"}
    },
    "store": {"$ref": "#/definitions/address"},
    "services": {
      "type": "object",
      "minProperties": 1,
      "additionalProperties": {"$ref": "#/definitions/service"}
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "lease_ms": {"type": "integer", "minimum": 500, "maximum": 60000},
        "renew_ms": {"type": "integer", "minimum": 50, "maximum": 20000},
        "hold_ms": {"type": "integer", "minimum": 200, "maximum": 10000},
        "suspect_ms": {"type": "integer", "minimum": 200, "maximum": 60000},
        "stop_timeout_ms": {"type": "integer", "minimum": 3000,
                            "maximum": 120000},
        "body_bytes": {"type": "integer", "minimum": 1024,
                       "maximum": 67108864},
        "memory_mb": {"type": "integer", "minimum": 64, "maximum": 1048576},
        "max_fds": {"type": "integer", "minimum": 1024, "maximum": 1048576},
        "retry_percent": {"type": "integer", "minimum": 0, "maximum": 50}
      }
    },
    "host": {"$ref": "#/definitions/host"}
  }
})json";
}

} // namespace lagoonhitch
