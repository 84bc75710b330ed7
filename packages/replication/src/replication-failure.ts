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

/** Every failure that an operation on the replicated log returns. */
export type ReplicationFailure =
  NotLeader | ProposalNotConfirmed | ReplicaStopped | CommandTooLarge | TooManyProposals
