import { sleep } from '@hickoryspoke/runtime/clock'
import type { Leadership } from './leadership.ts'
import type { PeerProgress } from './peer-progress.ts'
import type { ReplicaContext } from './replica-context.ts'
import { isVoter } from './replica-set.ts'

/** Waits for pending commands, then transfers leadership to the most up-to-date voter. Takes at most two election timeouts. */
export async function transferLeadership (context: ReplicaContext): Promise<void> {
  const leadership = context.leadership
  if (leadership === undefined || context.isStopped()) return
  leadership.transferring = true
  const end = context.now() + 2 * context.tuning.electionTimeoutMilliseconds
  await waitUntil(context, end, () => context.leadership !== leadership || context.proposals.size() === 0)
  if (votingPeers(context, leadership).length > 0) await transferToBestPeer(context, leadership, end)
  leadership.transferring = false
}

async function transferToBestPeer (context: ReplicaContext, leadership: Leadership, end: number): Promise<void> {
  const isReady = (): boolean => mostUpToDatePeer(context, leadership)?.matchIndex === context.lastPosition().index
  await waitUntil(context, end, () => context.leadership !== leadership || isReady())
  const best = mostUpToDatePeer(context, leadership)
  if (context.leadership !== leadership || best === undefined) return
  context.send(best.identity, { $case: 'timeoutNow', value: {} })
  await waitUntil(context, end, () => context.leadership !== leadership && context.leaderName !== undefined)
}

function votingPeers (context: ReplicaContext, leadership: Leadership): PeerProgress[] {
  return [...leadership.peers.values()].filter((peer) => isVoter(context.latestReplicaSet(), peer.identity))
}

/** The voter with the highest match index; among equals, the one heard from most recently. */
function mostUpToDatePeer (context: ReplicaContext, leadership: Leadership): PeerProgress | undefined {
  const peers = votingPeers(context, leadership)
  peers.sort((left, right) => right.matchIndex - left.matchIndex || right.lastHeard - left.lastHeard)
  return peers[0]
}

async function waitUntil (context: ReplicaContext, end: number, isDone: () => boolean): Promise<void> {
  while (!isDone() && context.now() < end && !context.isStopped()) {
    await sleep(context.settings.clock, context.tuning.tickMilliseconds, context.ended.signal)
  }
}
