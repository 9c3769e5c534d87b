/**
 * Switches of the soak that turn one mechanism off. Their uses carry the label TEST_ONLY, which
 * tools/build.mjs removes from the product's bundle, so no settings file and no environment reaches them
 * there.
 */
import { create } from '@bufbuild/protobuf';
import {
  ClaimResultSchema,
  ClaimState,
  type ClaimResult,
} from '../gen/redwingwharf/v1/state_pb.js';

/** True when the test bundle was started with this mechanism switched off. */
export function isBroken(mechanism: string): boolean {
  return process.env.REDWINGWHARF_BREAK === mechanism;
}

/** Looks like a granted claim, but no control member knows of it. */
export function createUnrecordedClaim(): ClaimResult {
  const claimId = BigInt(Math.floor((Date.now() + Math.random()) * 1_000));
  return create(ClaimResultSchema, { state: ClaimState.GRANTED, claimId, attempt: 1 });
}
