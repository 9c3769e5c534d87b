/** Brings orders of rollouts, and questions about them, from any process to the leader. */
import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import { describeError } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import {
  OrderRolloutRequestSchema,
  RolloutOutcome,
  RolloutService,
  type OrderRolloutRequest,
  type OrderRolloutResponse,
  type ReadRolloutResponse,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { FleetNode } from './FleetNode.js';
import type { RolloutController } from './RolloutController.js';

/** Timeout of one call at one process: the commit, and the wait until the entries know of the rollout. */
const CALL_TIMEOUT_MS = 1_400;

/** Timeout of a whole order or read, so that its caller can try another process. */
const TOTAL_TIMEOUT_MS = 2_000;

/** Mean delay between two rounds; jitter is added. */
const RETRY_DELAY_MS = 50;

/** The fields of an order. */
export type IRolloutOrder = Pick<OrderRolloutRequest, 'service' | 'to' | 'durationMs'>;

/**
 * Calls the leader, which may be this process.
 *
 * @example
 * const answer = await client.submitOrder({ service: 'lace', to: 'v2', durationMs: 12_000 }, signal);
 * if (typeof answer === 'string') respond(503, answer);
 */
export class RolloutClient {
  constructor(
    private readonly _node: Pick<FleetNode, 'leader' | 'listKnownAddresses' | 'getHub'>,
    private readonly _controller: Pick<RolloutController, 'submitOrder' | 'read'>,
    private readonly _rpc: Pick<RpcClients, 'get'>,
    private readonly _clock: IClock,
  ) {}

  /** Returns the reason if it is not known whether the order was accepted. */
  public submitOrder(
    order: IRolloutOrder,
    signal: AbortSignal,
  ): Promise<OrderRolloutResponse | string> {
    const request = create(OrderRolloutRequestSchema, order);
    return this._callLeader(signal, async (client, limited) => {
      const answer =
        client === undefined
          ? await this._controller.submitOrder(request, limited)
          : await client.orderRollout(request, { signal: limited });
      const isSure =
        answer.outcome !== RolloutOutcome.UNSURE && answer.outcome !== RolloutOutcome.UNSPECIFIED;
      return isSure ? answer : answer.reason;
    });
  }

  /** Returns the reason if the state could not be confirmed. */
  public read(service: string, signal: AbortSignal): Promise<ReadRolloutResponse | string> {
    return this._callLeader(signal, async (client, limited) => {
      const answer =
        client === undefined
          ? await this._controller.read({ service }, limited)
          : await client.readRollout({ service }, { signal: limited });
      return answer.confirmed ? answer : 'the leader is not confirmed';
    });
  }

  /** Calls one process after the other until one answers as the leader. */
  private _callLeader<T>(
    signal: AbortSignal,
    call: (
      client: Client<typeof RolloutService> | undefined,
      limited: AbortSignal,
    ) => Promise<T | string>,
  ): Promise<T | string> {
    return runWithTimeout(signal, TOTAL_TIMEOUT_MS, async (total) => {
      let reason = 'no leader is known';
      while (!isAborted(total)) {
        for (const address of this._listCandidates()) {
          const client = address === undefined ? undefined : this._rpc.get(RolloutService, address);
          try {
            const answer = await runWithTimeout(total, CALL_TIMEOUT_MS, (limited) =>
              call(client, limited),
            );
            if (typeof answer !== 'string') {
              return answer;
            }
            reason = answer;
          } catch (error) {
            reason = describeError(error);
          }
          if (isAborted(total)) {
            return reason;
          }
        }
        await sleep(addJitter(RETRY_DELAY_MS), total);
      }
      return reason;
    });
  }

  /** Undefined stands for this process, which is asked first if it leads. */
  private _listCandidates(): readonly (string | undefined)[] {
    return this._node.getHub(this._clock.now()) === undefined
      ? this._node.listKnownAddresses()
      : [undefined];
  }
}
