import type { ServerWritableStream } from '@grpc/grpc-js'
import type { AuditLine, AuditRequest } from '@hickoryspoke/protocol/generated/operator'
import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'

/** Lines that are written in one batch, before checking whether the stream's buffer must drain. */
const LINES_PER_BATCH = 256

/** Streams the lines of the audit trail and, if the request follows it, each new line as it is recorded. */
export class AuditFeed {
  private constructor (private readonly state: AcceptedState) {}

  static create (state: AcceptedState): AuditFeed {
    return new AuditFeed(state)
  }

  async serve (call: ServerWritableStream<AuditRequest, AuditLine>, request: AuditRequest): Promise<void> {
    let next = await this.sendFrom(call, Math.max(1, request.fromSequence))
    while (request.follow && !call.cancelled) {
      await this.nextChange(call)
      next = await this.sendFrom(call, next)
    }
    call.end()
  }

  /** Sends all lines from a sequence number on; returns the sequence number after the last one. */
  private async sendFrom (call: ServerWritableStream<AuditRequest, AuditLine>, from: number): Promise<number> {
    let next = from
    for (let lines = this.lines(next); lines.length > 0 && !call.cancelled; lines = this.lines(next)) {
      for (const line of lines) call.write(line)
      next = (lines.at(-1)?.sequence ?? next) + 1
      if (call.writableNeedDrain) await new Promise<void>((resolve) => waitForDrain(call, resolve))
    }
    return next
  }

  private lines (from: number): AuditLine[] {
    return this.state.audit.linesFrom(from, LINES_PER_BATCH)
  }

  private nextChange (call: ServerWritableStream<AuditRequest, AuditLine>): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        unsubscribe()
        call.off('cancelled', finish)
        resolve()
      }
      const unsubscribe = this.state.onChange(finish)
      call.once('cancelled', finish)
    })
  }
}

function waitForDrain (call: ServerWritableStream<AuditRequest, AuditLine>, resolve: () => void): void {
  call.once('drain', resolve)
  call.once('cancelled', resolve)
  call.once('close', resolve)
}
