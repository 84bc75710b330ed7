import { EventEmitter } from 'node:events'
import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { GracefulStop, SERVICE_STOP_SIGNALS } from '../graceful-stop.ts'
import type { ExitCode, RunningProgram } from '../program.ts'

const LIMIT_MILLISECONDS = 5_700

interface LogLine {
  readonly event: string
  readonly signal?: string
  readonly unfinished?: string
}

/** A program with a stop that ends when the test says so, run with signals and a clock of the test. */
class StoppedProgram {
  readonly clock = FakeClock.create()
  readonly lines: LogLine[] = []
  readonly exits: ExitCode[] = []
  stops = 0
  endStop = (): void => {}
  failStop = (_: Error): void => {}
  private readonly signals = new EventEmitter()

  static run (): StoppedProgram {
    const test = new StoppedProgram()
    GracefulStop.create(test.program(), {
      clock: test.clock,
      logger: Logger.create('test', LogLevel.Info, (line) => test.lines.push(JSON.parse(line))),
      signals: test.signals,
      stopSignals: SERVICE_STOP_SIGNALS,
      limitMilliseconds: LIMIT_MILLISECONDS,
      exit: (code) => test.exits.push(code)
    })
    return test
  }

  async signal (...signals: readonly NodeJS.Signals[]): Promise<void> {
    for (const signal of signals) this.signals.emit(signal, signal)
    await flushPromises()
  }

  linesOf (event: string): LogLine[] {
    return this.lines.filter((line) => line.event === event)
  }

  private program (): RunningProgram {
    return {
      stop: async () => {
        this.stops += 1
        await new Promise<void>((resolve, reject) => {
          this.endStop = resolve
          this.failStop = reject
        })
      },
      unfinished: () => '3 requests in flight'
    }
  }
}

// Guards against a process that a second signal ends at once, with all work in flight lost.
for (const later of [['SIGTERM'], ['SIGINT'], ['SIGINT', 'SIGTERM', 'SIGTERM', 'SIGINT']] as const) {
  test(`SIGTERM and then ${later.join(', ')} stop a program once`, async () => {
    const run = StoppedProgram.run()
    await run.signal('SIGTERM', ...later)
    assert.equal([run.stops, run.exits], [1, []])
    run.endStop()
    await flushPromises()
    assert.equal(run.exits, [0])
    assert.equal(run.linesOf('signal repeated during a stop').map(({ signal, unfinished }) => [signal, unfinished]), later.map((signal) => [signal, '3 requests in flight']))
  })
}

// Guards against a stop without an end, which nothing but SIGKILL could end once repeated signals do not.
test('a stop that does not end is given up at its limit, which runs from the first signal', async () => {
  const run = StoppedProgram.run()
  await run.signal('SIGINT')
  await run.clock.advanceAsync(LIMIT_MILLISECONDS - 100)
  await run.signal('SIGINT')
  assert.equal(run.exits, [])
  await run.clock.advanceAsync(100)
  assert.equal(run.exits, [1])
  assert.equal(run.linesOf('the stop did not end in time').map((line) => line.unfinished), ['3 requests in flight'])
})

// Guards against a log that fills up with signals.
test('a flood of signals is logged up to a limit', async () => {
  const run = StoppedProgram.run()
  await run.signal(...Array<NodeJS.Signals>(10_000).fill('SIGTERM'))
  assert.is(run.linesOf('signal repeated during a stop').length, 20)
  assert.is(run.stops, 1)
})

// Guards against an error in a stop that ends the process without a line that says so.
test('a stop that fails is logged and ends with exit code 1', async () => {
  const run = StoppedProgram.run()
  await run.signal('SIGTERM')
  run.failStop(new Error('disk gone'))
  await flushPromises()
  assert.equal(run.exits, [1])
  assert.is(run.linesOf('stop failed').length, 1)
})

test.run()
