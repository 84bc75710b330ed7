import { appendAsLeader, maintainPeers } from './leader-feed.ts'
import { Leadership } from './leadership.ts'
import type { ReplicaContext } from './replica-context.ts'
import { LIFECYCLE_EVENT } from './replica-lifecycle.ts'

/** Takes up leadership: restates the replica set as the first entry of the term and feeds all peers. */
export function becomeLeader (context: ReplicaContext): void {
  context.election = undefined
  context.leaderName = context.settings.name
  context.leadership = Leadership.create(context.lastPosition().index + 1)
  context.lifecycle.send(LIFECYCLE_EVENT.ElectionWon)
  appendAsLeader(context, { $case: 'replicaSet', value: context.latestSet() })
  maintainPeers(context)
}
