// Generated from schema/settings.schema.json. Do not edit.

/**
 * 1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit.
 */
export type Name = string;
/**
 * IP number and port, such as 10.0.0.5:7001 or [fd00::5]:7001.
 */
export type Address = string;

/**
 * Settings file of one process.
 */
export interface Settings {
  /**
   * Name of this instance, unique in the deployment.
   */
  instance: string;
  region: Name;
  dataCentre: Name;
  /**
   * Address for calls from other processes of the deployment.
   */
  internal: string;
  /**
   * File with the secret that the processes of the deployment share, relative to the settings file.
   */
  clusterSecretFile: string;
  /**
   * Processes to copy the configuration from: control members for an entry (by default those of entry.control), entries for a sidecar.
   *
   * @minItems 1
   */
  feed?: [Address, ...Address[]];
  entry?: EntrySettings;
  control?: ControlSettings;
  sidecar?: SidecarSettings;
  logLevel?: "debug" | "info" | "warn" | "error";
}
export interface EntrySettings {
  /**
   * IP number and port, such as 10.0.0.5:7001 or [fd00::5]:7001.
   */
  listen: string;
  /**
   * Internal addresses of the control members.
   *
   * @minItems 1
   */
  control: [Address, ...Address[]];
  policy?: "default" | "round-robin" | "least-load" | "prefix-hash";
  /**
   * Longest wait for open requests at shutdown.
   */
  drainTimeoutMs?: number;
}
export interface ControlSettings {
  memberId: Name;
  /**
   * Folder of the log and the snapshots, relative to the settings file.
   */
  dataFolder: string;
  /**
   * Internal addresses of the other control members, used to join.
   */
  peers?: Address[];
}
export interface SidecarSettings {
  /**
   * Internal addresses of the entries.
   *
   * @minItems 1
   */
  announceTo: [Address, ...Address[]];
  /**
   * IP number and port, such as 10.0.0.5:7001 or [fd00::5]:7001.
   */
  kvCacheStore?: string;
  target: TargetSettings;
}
export interface TargetSettings {
  id: Name;
  service: Name;
  kind: "engine" | "plain";
  address: Address;
  model?: string;
  healthPath?: string;
}

/** JSON schema that the types above were generated from. */
export const SETTINGS_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "$id": "settings.schema.json",
  "title": "Settings",
  "description": "Settings file of one process.",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "instance",
    "region",
    "dataCentre",
    "internal",
    "clusterSecretFile"
  ],
  "properties": {
    "instance": {
      "$ref": "#/definitions/name",
      "description": "Name of this instance, unique in the deployment."
    },
    "region": {
      "$ref": "#/definitions/name"
    },
    "dataCentre": {
      "$ref": "#/definitions/name"
    },
    "internal": {
      "$ref": "#/definitions/address",
      "description": "Address for calls from other processes of the deployment."
    },
    "clusterSecretFile": {
      "type": "string",
      "minLength": 1,
      "description": "File with the secret that the processes of the deployment share, relative to the settings file."
    },
    "feed": {
      "type": "array",
      "minItems": 1,
      "items": {
        "$ref": "#/definitions/address"
      },
      "description": "Processes to copy the configuration from: control members for an entry (by default those of entry.control), entries for a sidecar."
    },
    "entry": {
      "$ref": "#/definitions/entry"
    },
    "control": {
      "$ref": "#/definitions/control"
    },
    "sidecar": {
      "$ref": "#/definitions/sidecar"
    },
    "logLevel": {
      "enum": [
        "debug",
        "info",
        "warn",
        "error"
      ],
      "default": "info"
    }
  },
  "definitions": {
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$",
      "description": "1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit."
    },
    "address": {
      "type": "string",
      "pattern": "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",
      "description": "IP number and port, such as 10.0.0.5:7001 or [fd00::5]:7001."
    },
    "entry": {
      "title": "EntrySettings",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "listen",
        "control"
      ],
      "properties": {
        "listen": {
          "$ref": "#/definitions/address",
          "description": "Address for callers."
        },
        "control": {
          "type": "array",
          "minItems": 1,
          "items": {
            "$ref": "#/definitions/address"
          },
          "description": "Internal addresses of the control members."
        },
        "policy": {
          "enum": [
            "default",
            "round-robin",
            "least-load",
            "prefix-hash"
          ],
          "default": "default"
        },
        "drainTimeoutMs": {
          "type": "integer",
          "minimum": 0,
          "maximum": 3600000,
          "default": 600000,
          "description": "Longest wait for open requests at shutdown."
        }
      }
    },
    "control": {
      "title": "ControlSettings",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "memberId",
        "dataFolder"
      ],
      "properties": {
        "memberId": {
          "$ref": "#/definitions/name"
        },
        "dataFolder": {
          "type": "string",
          "minLength": 1,
          "description": "Folder of the log and the snapshots, relative to the settings file."
        },
        "peers": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/address"
          },
          "description": "Internal addresses of the other control members, used to join."
        }
      }
    },
    "sidecar": {
      "title": "SidecarSettings",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "target",
        "announceTo"
      ],
      "properties": {
        "announceTo": {
          "type": "array",
          "minItems": 1,
          "items": {
            "$ref": "#/definitions/address"
          },
          "description": "Internal addresses of the entries."
        },
        "kvCacheStore": {
          "$ref": "#/definitions/address",
          "description": "KV-cache store for the hot chunks of an engine; without it none are exported or imported."
        },
        "target": {
          "title": "TargetSettings",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "id",
            "service",
            "kind",
            "address"
          ],
          "properties": {
            "id": {
              "$ref": "#/definitions/name"
            },
            "service": {
              "$ref": "#/definitions/name"
            },
            "kind": {
              "enum": [
                "engine",
                "plain"
              ]
            },
            "address": {
              "$ref": "#/definitions/address"
            },
            "model": {
              "type": "string",
              "minLength": 1
            },
            "healthPath": {
              "type": "string",
              "pattern": "^/",
              "default": "/health"
            }
          }
        }
      }
    }
  }
};
