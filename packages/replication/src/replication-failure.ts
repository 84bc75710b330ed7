import { Failure } from '@hickoryspoke/runtime/failure'

/** This replica does not lead; `leader` is the name of the one that does, if known. The command was not added. */
export class NotLeader extends Failure {
  readonly code = 'not_leader'

  private constructor (readonly leader: string | undefined) {
    super(leader === undefined ? 'no leader is known' : `the leader is ${leader}`)
  }

  static create (leader: string | undefined): NotLeader {
    return new NotLeader(leader)
  }
}

/** The command was added but its outcome is unknown: leadership was lost or time ran out. Resending is safe for commands with an identity. */
export class ProposalNotConfirmed extends Failure {
  readonly code = 'proposal_not_confirmed'

  private constructor (readonly index: number) {
    super(`entry ${index} was not confirmed in time; it may still take effect`)
  }

  static create (index: number): ProposalNotConfirmed {
    return new ProposalNotConfirmed(index)
  }
}

/** The replica has stopped or is stopping. The command was not added. */
export class ReplicaStopped extends Failure {
  readonly code = 'replica_stopped'

  private constructor () {
    super('the replica has stopped')
  }

  static create (): ReplicaStopped {
    return new ReplicaStopped()
  }
}

/** The command is larger than one entry may be. Sizes in bytes. */
export class CommandTooLarge extends Failure {
  readonly code = 'command_too_large'

  private constructor (readonly size: number, readonly limit: number) {
    super(`the command has ${size} bytes, the limit is ${limit}`)
  }

  static create (size: number, limit: number): CommandTooLarge {
    return new CommandTooLarge(size, limit)
  }
}

/** Too many commands wait for confirmation. The command was not added; try again later. */
export class TooManyProposals extends Failure {
  readonly code = 'too_many_proposals'

  private constructor (readonly limit: number) {
    super(`${limit} commands wait for confirmation`)
  }

  static create (limit: number): TooManyProposals {
    return new TooManyProposals(limit)
  }
}

/** A change of the replica set was refused; `reason` is one of `REPLICA_SET_REFUSAL`. */
export class ReplicaSetChangeRefused extends Failure {
  readonly code = 'replica_set_change_refused'

  private constructor (readonly reason: ReplicaSetRefusal) {
    super(REFUSAL_TEXT[reason])
  }

  static create (reason: ReplicaSetRefusal): ReplicaSetChangeRefused {
    return new ReplicaSetChangeRefused(reason)
  }
}

/** Why a change of the replica set was refused. */
export const REPLICA_SET_REFUSAL = {
  ChangeUnderWay: 'change_under_way',
  TermNotConfirmed: 'term_not_confirmed',
  UnknownReplica: 'unknown_replica',
  NotCaughtUp: 'not_caught_up',
  AlreadyMember: 'already_member',
  LastVoter: 'last_voter'
} as const

/** One of the values of `REPLICA_SET_REFUSAL`. */
export type ReplicaSetRefusal = typeof REPLICA_SET_REFUSAL[keyof typeof REPLICA_SET_REFUSAL]

const REFUSAL_TEXT: Record<ReplicaSetRefusal, string> = {
  change_under_way: 'an earlier change of the replica set is not committed yet',
  term_not_confirmed: 'the leader has not committed an entry of its own term yet',
  unknown_replica: 'no replica of this name is known or has announced itself',
  not_caught_up: 'the learner has not caught up with the log yet',
  already_member: 'the replica is a member already',
  last_voter: 'the last voter cannot be removed'
}

/** Every failure that an operation on the replicated log returns. */
export type ReplicationFailure =
  NotLeader | ProposalNotConfirmed | ReplicaStopped | CommandTooLarge | TooManyProposals | ReplicaSetChangeRefused
