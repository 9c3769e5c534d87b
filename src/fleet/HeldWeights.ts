/** Looks up which weights a target has announced to hold. */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';

/** Version of a model's weights that the target announced; undefined if it doesn't run the model. */
export function getHeldVersion(
  record: TargetRecord,
  model: string | undefined,
): number | undefined {
  const held = record.models.find(({ name }) => name === model);
  return held === undefined ? undefined : Number(held.version);
}
