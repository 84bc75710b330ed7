import { createMachine, interpret, state, transition } from 'robot3'
import { REPLICA_ROLE, type ReplicaRole } from './replicated-log.ts'

/** Events that move a replica from one role to another. */
export const LIFECYCLE_EVENT = {
  Promoted: 'promoted',
  Demoted: 'demoted',
  ElectionStarted: 'electionStarted',
  ElectionWon: 'electionWon',
  SteppedDown: 'steppedDown',
  Stopped: 'stopped'
} as const

/** One of the values of `LIFECYCLE_EVENT`. */
export type LifecycleEvent = typeof LIFECYCLE_EVENT[keyof typeof LIFECYCLE_EVENT]

const { Promoted, Demoted, ElectionStarted, ElectionWon, SteppedDown, Stopped } = LIFECYCLE_EVENT
const { Follower, Candidate, Leader, Learner } = REPLICA_ROLE
const STOPPED_ROLE = REPLICA_ROLE.Stopped

function createReplicaMachine () {
  return createMachine(Learner, {
    [Learner]: state(transition(Promoted, Follower), transition(Stopped, STOPPED_ROLE)),
    [Follower]: state(transition(Demoted, Learner), transition(ElectionStarted, Candidate), transition(Stopped, STOPPED_ROLE)),
    [Candidate]: state(
      transition(ElectionStarted, Candidate),
      transition(ElectionWon, Leader),
      transition(SteppedDown, Follower),
      transition(Stopped, STOPPED_ROLE)
    ),
    [Leader]: state(transition(SteppedDown, Follower), transition(Stopped, STOPPED_ROLE)),
    [STOPPED_ROLE]: state()
  })
}

/** Role state machine of one replica. Events without a transition from the current role are ignored. */
export class ReplicaLifecycle {
  private readonly service: ReturnType<typeof interpret<ReturnType<typeof createReplicaMachine>, unknown>>

  private constructor (onChange: () => void) {
    this.service = interpret(createReplicaMachine(), onChange)
  }

  /** Starts as a learner. `onChange` is called after each transition. */
  static create (onChange: () => void): ReplicaLifecycle {
    return new ReplicaLifecycle(onChange)
  }

  role (): ReplicaRole {
    return this.service.machine.current as ReplicaRole
  }

  send (event: LifecycleEvent): void {
    this.service.send(event)
  }
}
