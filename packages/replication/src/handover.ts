import { sleep } from '@hickoryspoke/runtime/clock'
import type { Leadership } from './leadership.ts'
import type { PeerProgress } from './peer-progress.ts'
import type { ReplicaContext } from './replica-context.ts'
import { isVoter } from './replica-set.ts'

/** Lets commands under way end, then gives leadership to the peer that is furthest. Takes at most two election timeouts. */
export async function handOver (context: ReplicaContext): Promise<void> {
  const leadership = context.leadership
  if (leadership === undefined || context.isStopped()) return
  leadership.handingOver = true
  const end = context.now() + 2 * context.tuning.electionTimeoutMilliseconds
  await waitUntil(context, end, () => context.leadership !== leadership || context.proposals.size() === 0)
  if (votingPeers(context, leadership).length > 0) await nominate(context, leadership, end)
  leadership.handingOver = false
}

async function nominate (context: ReplicaContext, leadership: Leadership, end: number): Promise<void> {
  const isReady = (): boolean => bestPeer(context, leadership)?.matchIndex === context.lastPosition().index
  await waitUntil(context, end, () => context.leadership !== leadership || isReady())
  const best = bestPeer(context, leadership)
  if (context.leadership !== leadership || best === undefined) return
  context.send(best.identity, { $case: 'timeoutNow', value: {} })
  await waitUntil(context, end, () => context.leadership !== leadership && context.leaderName !== undefined)
}

function votingPeers (context: ReplicaContext, leadership: Leadership): PeerProgress[] {
  return [...leadership.peers.values()].filter((peer) => isVoter(context.latestSet(), peer.identity))
}

/** The peer that holds most; among equals the one heard last. */
function bestPeer (context: ReplicaContext, leadership: Leadership): PeerProgress | undefined {
  const peers = votingPeers(context, leadership)
  peers.sort((left, right) => right.matchIndex - left.matchIndex || right.lastHeard - left.lastHeard)
  return peers[0]
}

async function waitUntil (context: ReplicaContext, end: number, isDone: () => boolean): Promise<void> {
  while (!isDone() && context.now() < end && !context.isStopped()) {
    await sleep(context.settings.clock, context.tuning.tickMilliseconds, context.ended.signal)
  }
}
