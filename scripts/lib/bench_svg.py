"""Small SVG bar plots."""
from html import escape

WIDTH = 640
LABEL_WIDTH = 220
BAR_HEIGHT = 18
ROW_HEIGHT = 26
TOP = 40
VALUE_WIDTH = 80
COLOURS = ["#33658a", "#f26419", "#2f4858", "#758e4f"]


def bars(path, title, unit, rows, bound=None):
    """Writes a plot of rows (label, value) as horizontal bars.

    A vertical line marks the bound, if given.
    """
    largest = max([value for _, value in rows] + [bound or 0]) or 1
    scale = (WIDTH - LABEL_WIDTH - VALUE_WIDTH) / largest
    height = TOP + ROW_HEIGHT * len(rows) + 10
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
             f'height="{height}" font-family="sans-serif" font-size="12">',
             f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
             f'<text x="10" y="20" font-size="14">{escape(title)} '
             f'({escape(unit)})</text>']
    for number, (label, value) in enumerate(rows):
        y = TOP + ROW_HEIGHT * number
        length = max(value * scale, 1)
        colour = COLOURS[number % len(COLOURS)]
        parts += [
            f'<text x="10" y="{y + 13}">{escape(label)}</text>',
            f'<rect x="{LABEL_WIDTH}" y="{y}" width="{length:.1f}" '
            f'height="{BAR_HEIGHT}" fill="{colour}"/>',
            f'<text x="{LABEL_WIDTH + length + 5:.1f}" y="{y + 13}">'
            f'{value:.4g}</text>']
    if bound is not None:
        x = LABEL_WIDTH + bound * scale
        parts.append(f'<line x1="{x:.1f}" y1="{TOP - 8}" x2="{x:.1f}" '
                     f'y2="{height - 8}" stroke="#c1121f" '
                     'stroke-dasharray="4 3"/>')
    with open(path, "w") as handle:
        handle.write("\n".join(parts + ["</svg>"]) + "\n")
