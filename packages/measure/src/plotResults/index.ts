/** Plots results as SVG. */
import * as fs from 'node:fs'
import * as vega from 'vega'

/** A bar of the bar chart. */
interface Bar {
  readonly label: string
  readonly value: number
}

const WIDTH = 520
const BAR_HEIGHT = 22

/**
 * Plots one numeric field of each result as a bar.
 *
 * @param file - Results file with one JSON object per line.
 * @param key - Name of the field.
 * @param target - Path of the SVG file to write.
 */
export async function plotResults (file: string, key: string, target: string): Promise<void> {
  const results = fs.readFileSync(file, 'utf8').trim().split('\n').map((line) => JSON.parse(line) as Record<string, unknown>)
  const bars = results.filter((result) => typeof result[key] === 'number').map((result): Bar => ({ label: formatLabel(result), value: result[key] as number }))
  const view = new vega.View(vega.parse(createSpec(bars, key)), { renderer: 'none' })
  fs.writeFileSync(target, await view.toSVG())
  view.finalize()
}

function formatLabel (result: Record<string, unknown>): string {
  const parts = [result['policy'], result['nodes'], result['entryNodes'], result['load'], result['favour'] === 'origin-bytes' ? 'origin-bytes' : '']
  const faults = [result['dying'] ? `${Number(result['dying']) * 100} % dying` : '', result['cutsHall'] === true ? 'hall cut off' : '']
  return [...parts, ...faults].filter((part) => part !== undefined && part !== '').join(', ')
}

function createSpec (bars: readonly Bar[], title: string): vega.Spec {
  return {
    width: WIDTH,
    height: BAR_HEIGHT * bars.length,
    padding: 5,
    background: 'white',
    title,
    data: [{ name: 'bars', values: [...bars] }],
    scales: [
      { name: 'x', type: 'linear', domain: { data: 'bars', field: 'value' }, zero: true, nice: true, range: 'width' },
      { name: 'y', type: 'band', domain: { data: 'bars', field: 'label' }, range: 'height', padding: 0.2 }
    ],
    axes: [{ orient: 'bottom', scale: 'x', grid: true }, { orient: 'left', scale: 'y', labelLimit: 300 }],
    marks: [
      {
        type: 'rect',
        from: { data: 'bars' },
        encode: { enter: { x: { scale: 'x', value: 0 }, x2: { scale: 'x', field: 'value' }, y: { scale: 'y', field: 'label' }, height: { scale: 'y', band: 1 }, fill: { value: '#4878a8' } } }
      }
    ]
  }
}
