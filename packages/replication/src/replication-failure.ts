import { Failure } from '@hickoryspoke/runtime/failure'

/** This replica is not the leader. `leader` names the leader, if known. The command was not appended. */
export class NotLeader extends Failure {
  readonly code = 'not_leader'

  private constructor (readonly leader: string | undefined) {
    super(leader === undefined ? 'no leader is known' : `the leader is ${leader}`)
  }

  static create (leader: string | undefined): NotLeader {
    return new NotLeader(leader)
  }
}

/** The command was appended but its outcome is unknown: leadership was lost or the timeout expired. Commands with an identity can safely be resent. */
export class ProposalNotConfirmed extends Failure {
  readonly code = 'proposal_not_confirmed'

  private constructor (readonly index: number) {
    super(`entry ${index} was not confirmed in time; it may still take effect`)
  }

  static create (index: number): ProposalNotConfirmed {
    return new ProposalNotConfirmed(index)
  }
}

/** The replica has stopped or is stopping. The command was not appended. */
export class ReplicaStopped extends Failure {
  readonly code = 'replica_stopped'

  private constructor () {
    super('the replica has stopped')
  }

  static create (): ReplicaStopped {
    return new ReplicaStopped()
  }
}

/** The command exceeds the maximum size of an entry. Sizes in bytes. */
export class CommandTooLarge extends Failure {
  readonly code = 'command_too_large'

  private constructor (readonly size: number, readonly limit: number) {
    super(`the command has ${size} bytes, the limit is ${limit}`)
  }

  static create (size: number, limit: number): CommandTooLarge {
    return new CommandTooLarge(size, limit)
  }
}

/** Too many commands await confirmation. The command was not appended and can be retried later. */
export class TooManyProposals extends Failure {
  readonly code = 'too_many_proposals'

  private constructor (readonly limit: number) {
    super(`${limit} commands wait for confirmation`)
  }

  static create (limit: number): TooManyProposals {
    return new TooManyProposals(limit)
  }
}

/** Any failure that an operation on the replicated log returns. */
export type ReplicationFailure =
  NotLeader | ProposalNotConfirmed | ReplicaStopped | CommandTooLarge | TooManyProposals
