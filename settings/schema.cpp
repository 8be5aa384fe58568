#include "settings/schema.h"

namespace lagoonhitch {

const char *settingsSchema() {
  return R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["site", "zones", "log", "services", "host"],
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
      "required": ["name", "zone", "callers", "peers", "control", "admin"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "zone": {"$ref": "#/definitions/name"},
                "callers": {"$ref": "#/definitions/address"},
        "internal": {"$ref": "#/definitions/address"},
                "peers": {"$ref": "#/definitions/address"},
        "peers_public": {"$ref": "#/definitions/address"},
        "control": {"$ref": "#/definitions/address"},
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
    "log": {"$ref": "#/definitions/address"},
    "services": {
      "type": "object",
      "minProperties": 1,
      "additionalProperties": {"$ref": "#/definitions/service"}
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "lease_ms": {"type": "integer", "minimum": 200, "maximum": 1500},
        "renew_ms": {"type": "integer", "minimum": 50, "maximum": 500},
        "suspect_ms": {"type": "integer", "minimum": 100, "maximum": 1400},
        "takeover_margin_ms": {"type": "integer", "minimum": 50,
                               "maximum": 500},
        "moves_in_flight": {"type": "integer", "minimum": 1, "maximum": 1024},
        "announce_expiry_ms": {"type": "integer", "minimum": 300,
                               "maximum": 10000},
        "settle_ms": {"type": "integer", "minimum": 50, "maximum": 400},
        "stop_timeout_ms": {"type": "integer", "minimum": 100,
                            "maximum": 120000},
        "dedup_window_ms": {"type": "integer", "minimum": 1000,
                            "maximum": 3600000},
        "body_bytes": {"type": "integer", "minimum": 1024,
                       "maximum": 16777216},
        "retry_percent": {"type": "integer", "minimum": 0, "maximum": 50}
      }
    },
    "host": {"$ref": "#/definitions/host"}
  }
})json";
}

} // namespace lagoonhitch
