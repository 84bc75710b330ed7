import { appendAsLeader, reconcilePeers } from './leader-replication.ts'
import { Leadership } from './leadership.ts'
import type { ReplicaContext } from './replica-context.ts'
import { LIFECYCLE_EVENT } from './replica-lifecycle.ts'

/** Becomes leader: appends the current replica set as the first entry of the term and starts replicating to all peers. */
export function becomeLeader (context: ReplicaContext): void {
  context.election = undefined
  context.leaderName = context.settings.name
  context.leadership = Leadership.create(context.lastPosition().index + 1)
  context.lifecycle.send(LIFECYCLE_EVENT.ElectionWon)
  appendAsLeader(context, { $case: 'replicaSet', value: context.latestReplicaSet() })
  reconcilePeers(context)
}
