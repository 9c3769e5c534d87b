// Generated from schema/operator.schema.json. Do not edit.

/**
 * 1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit.
 */
export type Name = string;

/**
 * A short file beside a service's code: redwingwharf.json.
 */
export interface OperatorFile {
  services?: ServiceEntry[];
  clientAccounts?: ClientAccountEntry[];
  weights?: WeightsEntry[];
}
export interface ServiceEntry {
  name: Name;
  kind: "model" | "plain";
  models?: string[];
  routes?: RouteEntry[];
  defaultOutputTokens?: number;
  timeoutMs?: number;
}
export interface RouteEntry {
  /**
   * Path prefix, matched by whole segments.
   */
  path: string;
  methods?: ("GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE")[];
  /**
   * Anybody may call the route without a key.
   */
  open?: boolean;
  /**
   * A call may run at most once.
   */
  nonRepeatable?: boolean;
}
export interface ClientAccountEntry {
  id: Name;
  tokensPerSecond: number;
  burstTokens: number;
  services: Name[];
  priority?: number;
}
export interface WeightsEntry {
  model: string;
  version: string;
}

/** JSON schema that the types above were generated from. */
export const OPERATOR_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "$id": "operator.schema.json",
  "title": "OperatorFile",
  "description": "A short file beside a service's code: redwingwharf.json.",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "services": {
      "type": "array",
      "items": {
        "$ref": "#/definitions/service"
      }
    },
    "clientAccounts": {
      "type": "array",
      "items": {
        "$ref": "#/definitions/clientAccount"
      }
    },
    "weights": {
      "type": "array",
      "items": {
        "$ref": "#/definitions/weights"
      }
    }
  },
  "definitions": {
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$",
      "description": "1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit."
    },
    "service": {
      "title": "ServiceEntry",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "kind"
      ],
      "properties": {
        "name": {
          "$ref": "#/definitions/name"
        },
        "kind": {
          "enum": [
            "model",
            "plain"
          ]
        },
        "models": {
          "type": "array",
          "items": {
            "type": "string",
            "minLength": 1,
            "maxLength": 128
          },
          "uniqueItems": true
        },
        "routes": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/route"
          }
        },
        "defaultOutputTokens": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000000,
          "default": 512
        },
        "timeoutMs": {
          "type": "integer",
          "minimum": 100,
          "maximum": 3600000,
          "default": 120000
        }
      }
    },
    "route": {
      "title": "RouteEntry",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "path"
      ],
      "properties": {
        "path": {
          "type": "string",
          "pattern": "^/[^?#]*$",
          "maxLength": 512,
          "description": "Path prefix, matched by whole segments."
        },
        "methods": {
          "type": "array",
          "items": {
            "enum": [
              "GET",
              "HEAD",
              "POST",
              "PUT",
              "PATCH",
              "DELETE"
            ]
          },
          "uniqueItems": true
        },
        "open": {
          "type": "boolean",
          "default": false,
          "description": "Anybody may call the route without a key."
        },
        "nonRepeatable": {
          "type": "boolean",
          "default": false,
          "description": "A call may run at most once."
        }
      }
    },
    "clientAccount": {
      "title": "ClientAccountEntry",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "id",
        "tokensPerSecond",
        "burstTokens",
        "services"
      ],
      "properties": {
        "id": {
          "$ref": "#/definitions/name"
        },
        "tokensPerSecond": {
          "type": "number",
          "exclusiveMinimum": 0,
          "maximum": 1000000000
        },
        "burstTokens": {
          "type": "number",
          "exclusiveMinimum": 0,
          "maximum": 1000000000
        },
        "services": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/name"
          },
          "uniqueItems": true
        },
        "priority": {
          "type": "integer",
          "minimum": 0,
          "maximum": 9,
          "default": 5
        }
      }
    },
    "weights": {
      "title": "WeightsEntry",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "model",
        "version"
      ],
      "properties": {
        "model": {
          "type": "string",
          "minLength": 1,
          "maxLength": 128
        },
        "version": {
          "type": "string",
          "minLength": 1,
          "maxLength": 128
        }
      }
    }
  }
};
