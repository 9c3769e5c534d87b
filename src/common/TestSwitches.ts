/**
 * Switches with which the soak test disables a single safety mechanism, to show that its checks find the
 * resulting fault. All uses carry the label TEST_ONLY. tools/build.mjs removes labelled statements from
 * the product's bundles, so that neither settings nor the environment can disable a mechanism there.
 */
import { create } from '@bufbuild/protobuf';
import {
  ClaimResultSchema,
  ClaimState,
  type ClaimResult,
} from '../gen/redwingwharf/v1/state_pb.js';

/** True when the process runs the test bundle and the environment disables this mechanism. */
export function isMechanismDisabled(mechanism: string): boolean {
  return process.env.REDWINGWHARF_BREAK === mechanism;
}

/** Creates the result of a granted claim that no control member has recorded. */
export function createUnrecordedClaim(): ClaimResult {
  const claimId = BigInt(Math.floor((Date.now() + Math.random()) * 1_000));
  return create(ClaimResultSchema, { state: ClaimState.GRANTED, claimId, attempt: 1 });
}
