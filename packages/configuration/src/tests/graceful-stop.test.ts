import { EventEmitter } from 'node:events'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { Err, Ok, type Result } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { GracefulStop, SERVICE_STOP_SIGNALS } from '../graceful-stop.ts'
import type { ExitCode, RunningProgram } from '../program.ts'
import { FileNotReadable } from '../settings-file.ts'

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
  starts = 0
  stops = 0
  endStart = (_: Result<RunningProgram, Failure>): void => {}
  endStop = (): void => {}
  failStop = (_: Error): void => {}
  fail = (_: Failure | undefined): void => {}
  private readonly signals = new EventEmitter()

  private readonly stop: GracefulStop

  private constructor () {
    const logger = Logger.create('test', LogLevel.Info, (line) => this.lines.push(JSON.parse(line)))
    this.stop = GracefulStop.create({
      name: 'test',
      clock: this.clock,
      logger,
      signals: this.signals,
      stopSignals: SERVICE_STOP_SIGNALS,
      exit: (code) => this.exits.push(code)
    })
    this.stop.configure({ logger, limitMilliseconds: LIMIT_MILLISECONDS })
  }

  static create (): StoppedProgram {
    return new StoppedProgram()
  }

  static async run (): Promise<StoppedProgram> {
    const test = new StoppedProgram()
    test.start()
    test.endStart(Ok(test.program()))
    await flushPromises()
    return test
  }

  start (): void {
    void this.stop.run(async () => {
      this.starts += 1
      return await new Promise<Result<RunningProgram, Failure>>((resolve) => { this.endStart = resolve })
    })
  }

  get listeners (): number {
    return SERVICE_STOP_SIGNALS.reduce((sum, signal) => sum + this.signals.listenerCount(signal), 0)
  }

  async signal (...signals: readonly NodeJS.Signals[]): Promise<void> {
    for (const signal of signals) this.signals.emit(signal, signal)
    await flushPromises()
  }

  linesOf (event: string): LogLine[] {
    return this.lines.filter((line) => line.event === event)
  }

  program (): RunningProgram {
    return {
      stop: async () => {
        this.stops += 1
        await new Promise<void>((resolve, reject) => {
          this.endStop = resolve
          this.failStop = reject
        })
      },
      unfinished: () => '3 requests in flight',
      whenFailed: async () => await new Promise<Failure | undefined>((resolve) => { this.fail = resolve })
    }
  }
}

// Guards against a process that a second signal ends at once, with all work in flight lost.
for (const later of [['SIGTERM'], ['SIGINT'], ['SIGINT', 'SIGTERM', 'SIGTERM', 'SIGINT']] as const) {
  test(`SIGTERM and then ${later.join(', ')} stop a program once`, async () => {
    const run = await StoppedProgram.run()
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
  const run = await StoppedProgram.run()
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
  const run = await StoppedProgram.run()
  await run.signal(...Array<NodeJS.Signals>(10_000).fill('SIGTERM'))
  assert.is(run.linesOf('signal repeated during a stop').length, 20)
  assert.is(run.stops, 1)
})

// Guards against an error in a stop that ends the process without a line that says so.
test('a stop that fails is logged and ends with exit code 1', async () => {
  const run = await StoppedProgram.run()
  await run.signal('SIGTERM')
  run.failStop(new Error('disk gone'))
  await flushPromises()
  assert.equal(run.exits, [1])
  assert.is(run.linesOf('stop failed').length, 1)
})

// Guards against a signal during the start that is lost, or that kills what has been started.
test('a program that gets signals while it starts is stopped once it has started', async () => {
  const run = StoppedProgram.create()
  run.start()
  await run.signal('SIGTERM', 'SIGINT')
  assert.equal([run.stops, run.exits], [0, []])
  run.endStart(Ok(run.program()))
  await flushPromises()
  assert.equal([run.stops, run.exits], [1, []])
  run.endStop()
  await flushPromises()
  assert.equal(run.exits, [0])
})

test('a program that gets a signal before its start is not started', async () => {
  const run = StoppedProgram.create()
  await run.signal('SIGINT')
  run.start()
  await flushPromises()
  assert.equal([run.starts, run.stops, run.exits], [0, 0, [0]])
})

// Guards against a process that waits for a start that never ends, and no longer ends on a signal.
test('a start that does not end is given up at the limit of the stop, with a line that says so', async () => {
  const run = StoppedProgram.create()
  run.start()
  await run.signal('SIGTERM')
  await run.clock.advanceAsync(LIMIT_MILLISECONDS)
  assert.equal(run.exits, [1])
  assert.equal(run.linesOf('the stop did not end in time').map((line) => line.unfinished), ['the start of the program'])
})

test('the limit of a stop that a signal began during the start includes the start', async () => {
  const run = StoppedProgram.create()
  run.start()
  await run.signal('SIGTERM')
  await run.clock.advanceAsync(LIMIT_MILLISECONDS - 100)
  run.endStart(Ok(run.program()))
  await run.clock.advanceAsync(100)
  assert.equal([run.stops, run.exits], [1, [1]])
})

test('a start that fails after a signal ends the process with exit code 1', async () => {
  const run = StoppedProgram.create()
  run.start()
  await run.signal('SIGTERM')
  run.endStart(Err(FileNotReadable.create('settings.toml', 'absent')))
  await flushPromises()
  process.exitCode = 0
  assert.equal([run.stops, run.exits], [0, [1]])
})

test('a program that did not start leaves signals to the operating system', async () => {
  const run = StoppedProgram.create()
  run.start()
  run.endStart(Err(FileNotReadable.create('settings.toml', 'absent')))
  await flushPromises()
  process.exitCode = 0
  assert.is(run.listeners, 0)
  assert.equal(run.exits, [])
})

// Guards against a failure that counts as a second signal, and against one that ends with exit code 0.
for (const [when, signals] of [['before', []], ['during', ['SIGTERM']]] as const) {
  test(`a program that fails ${when} a stop is stopped once, with exit code 1`, async () => {
    const run = await StoppedProgram.run()
    await run.signal(...signals)
    run.fail(FileNotReadable.create('journal', 'disk gone'))
    await run.signal('SIGTERM')
    assert.equal([run.stops, run.exits], [1, []])
    run.endStop()
    await flushPromises()
    assert.equal(run.exits, [1])
  })
}

test.run()
