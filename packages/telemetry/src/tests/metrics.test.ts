import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Metrics } from '../metrics.ts'

test('exposes counters, gauges and quantiles in the Prometheus text format', async () => {
  const metrics = Metrics.create()
  metrics.counter('requests_total', 'requests', ['code']).inc({ code: '200' }, 3)
  metrics.gauge('waiting', 'waiting requests', [], (gauge) => gauge.set(7))
  const latency = metrics.latency('request_seconds', 'time of a request')
  for (let milliseconds = 1; milliseconds <= 100; milliseconds += 1) latency.record({ pool: 'a"b' }, milliseconds)
  const text = await metrics.expose()
  assert.match(text, 'requests_total{code="200"} 3')
  assert.match(text, 'waiting 7')
  assert.match(text, 'request_seconds_count{pool="a\\"b"} 100')
  const median = Number(/quantile="0.5"} (\S+)/.exec(text)?.[1])
  assert.ok(median > 0.049 && median < 0.052)
})

test.run()
