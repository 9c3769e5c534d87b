/** Commands that the leader is committing, so that a caller who tries again adds no further entry to the log. */
import { toBinary } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import { Err, type Result } from '../common/Result.js';
import { runWithTimeout, waitUntilAborted } from '../common/Tasks.js';
import type { ConsensusFailure, ICommitted } from '../consensus/Types.js';
import { FleetCommandSchema, type FleetCommand } from '../gen/redwingwharf/v1/fleet_pb.js';
import { isLater } from './TargetOrder.js';

/** Longest wait for one commit, however many callers have given up. A leader without a majority steps down much earlier. */
const COMMIT_TIMEOUT_MS = 10_000;

type CommitResult = Result<ICommitted, ConsensusFailure>;

interface IPendingCommand {
  readonly command: FleetCommand;
  readonly result: Promise<CommitResult>;
}

/**
 * Proposes each command once, and lets later callers wait for the same commit. A caller that gives up does not end it.
 *
 * @example
 * const pending = new PendingCommands((command, signal) => log.propose(command, signal));
 * const result = await pending.commit(command, AbortSignal.timeout(900));
 */
export class PendingCommands {
  private readonly _pending = new Set<IPendingCommand>();

  constructor(
    private readonly _propose: (command: Uint8Array, signal: AbortSignal) => Promise<CommitResult>,
  ) {}

  /** Resolves once a command that covers this one is committed, or with a failure if the signal is aborted before. */
  public async commit(command: FleetCommand, signal: AbortSignal): Promise<CommitResult> {
    const pending = this._findCovering(command) ?? this._begin(command);
    const result = await waitUntilAborted(pending.result, signal);
    const message = 'The call ended before the command was committed; look up its outcome.';
    return result ?? Err({ kind: 'indeterminate', message });
  }

  private _findCovering(command: FleetCommand): IPendingCommand | undefined {
    return [...this._pending].find((pending) => isCovered(command, pending.command));
  }

  private _begin(command: FleetCommand): IPendingCommand {
    const { signal } = new AbortController();
    const result = runWithTimeout(signal, COMMIT_TIMEOUT_MS, (limited) =>
      this._propose(toBinary(FleetCommandSchema, command), limited),
    ).finally(() => {
      this._pending.delete(pending);
    });
    const pending = { command, result };
    this._pending.add(pending);
    return pending;
  }
}

/** True if a command needs no commit of its own once another one is committed. */
function isCovered(command: FleetCommand, other: FleetCommand): boolean {
  const { body } = command;
  switch (body.case) {
    case 'putDocument':
      return (
        other.body.case === 'putDocument' &&
        other.body.value.version === body.value.version &&
        hasSameBytes(other.body.value.content, body.value.content)
      );
    case 'nameWeights':
      return (
        other.body.case === 'nameWeights' &&
        other.body.value.model === body.value.model &&
        other.body.value.version >= body.value.version
      );
    case 'recordDeparture':
      return (
        other.body.case === 'recordDeparture' &&
        other.body.value.id === body.value.id &&
        !isLater(body.value, other.body.value)
      );
    case 'recordSpending':
    case 'recordStreams':
    case 'setVersionBase':
    case 'forgetStreams':
    case 'recordProbe':
    case 'startRollout':
    case 'recordRollout':
    case 'endRollout':
    case undefined:
      return false;
  }
}
